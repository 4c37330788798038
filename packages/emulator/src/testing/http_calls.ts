/** Short HTTP calls and waits for the stand-ins' tests. */

/** A JSON answer as a test reads it. */
export interface JsonAnswer<Body> {
  status: number;
  headers: Headers;
  body: Body;
}

/** A body of which a test reads nothing or compares all. */
export type AnyBody = Record<string, unknown>;

/** Sends a JSON call and reads the JSON answer, if there is a body. */
export async function sendJson<Body = AnyBody>(
  url: string,
  options: {
    method?: string;
    body?: unknown;
    headers?: Record<string, string>;
  } = {},
): Promise<JsonAnswer<Body>> {
  const response = await fetch(url, {
    method: options.method ?? (options.body === undefined ? "GET" : "POST"),
    headers: options.headers ?? {},
    ...(options.body === undefined
      ? {}
      : { body: JSON.stringify(options.body) }),
  });
  const text = await response.text();
  return {
    status: response.status,
    headers: response.headers,
    body: text === "" ? undefined : JSON.parse(text),
  };
}

/** Waits until a condition holds; the test's own timeout ends it. */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  while (!await condition()) {
    await new Promise<void>((resolve) => setImmediate(resolve));
  }
}

/** What a stream of events held. */
export interface StreamText {
  text: string;
  offsets: number[];
  /** Whether the closing event came. */
  isWhole: boolean;
}

/** Parses the events of a completion stream. */
export function parseEvents(stream: string): StreamText {
  const parsed: StreamText = { text: "", offsets: [], isWhole: false };
  for (const event of stream.split("\n\n")) {
    const data = /^data: (.*)$/m.exec(event)?.[1];
    if (data === undefined) {
      continue;
    }
    if (data === "[DONE]") {
      parsed.isWhole = true;
      continue;
    }
    const choice = JSON.parse(data).choices[0];
    parsed.text += choice.text ?? choice.delta.content;
    parsed.offsets.push(Number(/^id: (\d+)$/m.exec(event)?.[1]));
  }
  return parsed;
}

/** Reads a body until it ends or breaks off. */
export async function readUntilBroken(response: Response): Promise<string> {
  const decoder = new TextDecoder();
  let text = "";
  try {
    for await (const part of response.body as ReadableStream<Uint8Array>) {
      text += decoder.decode(part, { stream: true });
    }
  } catch {
    // A broken connection is what such a test brings about.
  }
  return text;
}

/** Reads the events of a streamed answer as a caller of the routers does. */

const END_MARK = "[DONE]";
const ERROR_EVENT = "error";
const EVENT_SEPARATOR = "\n\n";

/** What an event tells the caller. */
export enum CallerEventKind {
  Text = "text",
  /** The answer is whole. */
  End = "end",
  /** The answer can't be completed, and says so. */
  Error = "error",
}

/** One event of a streamed answer. */
export interface CallerEvent {
  kind: CallerEventKind;
  /** New text of the answer; the error's body for an error. */
  text: string;
  /** Names the place in the stream, for a resume; may be empty. */
  id: string;
}

interface ChunkBody {
  choices?: { text?: string; delta?: { content?: string } }[];
}

/** Yields events as they come; throws when the connection breaks. */
export async function* readCallerEvents(
  body: AsyncIterable<Uint8Array>,
): AsyncGenerator<CallerEvent> {
  const decoder = new TextDecoder();
  let pending = "";
  for await (const part of body) {
    pending += decoder.decode(part, { stream: true });
    const events = pending.split(EVENT_SEPARATOR);
    pending = events.pop() ?? "";
    yield* events.map(parseEvent);
  }
}

function parseEvent(event: string): CallerEvent {
  const data = readField(event, "data");
  const id = readField(event, "id");
  if (readField(event, "event") === ERROR_EVENT) {
    return { kind: CallerEventKind.Error, text: data, id };
  }
  if (data === END_MARK) {
    return { kind: CallerEventKind.End, text: "", id };
  }
  const choice = (JSON.parse(data) as ChunkBody).choices?.[0];
  const text = choice?.text ?? choice?.delta?.content ?? "";
  return { kind: CallerEventKind.Text, text, id };
}

function readField(event: string, name: string): string {
  const prefix = `${name}: `;
  const line = event.split("\n").find((each) => each.startsWith(prefix));
  return line?.slice(prefix.length) ?? "";
}

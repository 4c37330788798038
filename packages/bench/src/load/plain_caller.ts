/** Calls plain services through the routers. */

import { type Clock, describeError } from "@rattanvane/base";
import { HeaderName } from "@rattanvane/platform";
import { type Dispatcher, request } from "undici";

const NO_ANSWER = 0;
const CREATED = 201;

/** A call of a plain service. */
export interface PlainCall {
  /** The router's URL. */
  url: string;
  service: string;
  method: string;
  /** The path below the service; starts with a slash. */
  path: string;
  body?: unknown;
  /** The caller's own or an issued key, for calls that must not be repeated. */
  key?: string;
  headers?: Record<string, string>;
}

/** What became of a call. */
export interface PlainResult {
  /** The HTTP status; 0 when there was no answer. */
  status: number;
  /** The answer's text; the reason when there was no answer. */
  text: string;
  /** `not_run`, `unknown` or empty. */
  outcome: string;
  requestId: string;
  durationMilliseconds: number;
}

/** Sends one organisation's calls of plain services. */
export class PlainCaller {
  readonly #options: {
    key: string;
    clock: Clock;
    dispatcher: Dispatcher;
  };

  constructor(
    options: { key: string; clock: Clock; dispatcher: Dispatcher },
  ) {
    this.#options = options;
  }

  /** Sends a call; never throws. */
  async send(call: PlainCall, signal: AbortSignal): Promise<PlainResult> {
    return await this.#exchange({
      url: `${call.url}/services/${call.service}${call.path}`,
      method: call.method,
      headers: {
        ...call.headers,
        ...(call.key === undefined
          ? {}
          : { [HeaderName.IdempotencyKey]: call.key }),
      },
      body: call.body,
    }, signal);
  }

  /** Gets a key issued by the VM at a URL; undefined when it issues none. */
  async requestKey(
    url: string,
    signal: AbortSignal,
  ): Promise<string | undefined> {
    const result = await this.#exchange({
      url: `${url}/v1/keys`,
      method: "POST",
      headers: {},
      body: undefined,
    }, signal);
    return result.status === CREATED
      ? (JSON.parse(result.text) as { key: string }).key
      : undefined;
  }

  async #exchange(
    call: {
      url: string;
      method: string;
      headers: Record<string, string>;
      body: unknown;
    },
    signal: AbortSignal,
  ): Promise<PlainResult> {
    const { clock, dispatcher, key } = this.#options;
    const startedAt = clock.now();
    const result = { status: NO_ANSWER, text: "", outcome: "", requestId: "" };
    try {
      const response = await request(call.url, {
        method: call.method as Dispatcher.HttpMethod,
        headers: { ...call.headers, authorization: `Bearer ${key}` },
        ...(call.body === undefined ? {} : { body: JSON.stringify(call.body) }),
        dispatcher,
        signal,
      });
      result.outcome = String(response.headers[HeaderName.Outcome] ?? "");
      result.requestId = String(response.headers[HeaderName.RequestId] ?? "");
      result.text = await response.body.text();
      result.status = response.statusCode;
    } catch (error) {
      result.text = describeError(error);
    }
    return { ...result, durationMilliseconds: clock.now() - startedAt };
  }
}

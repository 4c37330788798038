/** The body of an endpoint's response while it is received. */

import { type Clock, describeError } from "@rattanvane/base";
import type { Readable } from "node:stream";
import { EndpointError, EndpointErrorKind } from "../endpoint_error.ts";
import type { CallTimer } from "./call_timer.ts";

/** Options of a body, including its idle time limit. */
export interface EndpointBodyOptions {
  endpoint: string;
  clock: Clock;
  timer: CallTimer;
  /** The maximum wait for the next chunk; the time a slow reader takes does not
   * count. */
  idleTimeoutMilliseconds: number;
}

/**
 * Yields chunks as they arrive, with backpressure: the connection is read no
 * faster than the reader consumes them. Closes the connection when the reader
 * stops early.
 */
export class EndpointBody implements AsyncIterable<Uint8Array> {
  readonly #source: Readable;
  readonly #options: EndpointBodyOptions;
  #waitingSince: number | undefined;

  constructor(source: Readable, options: EndpointBodyOptions) {
    this.#source = source;
    this.#options = options;
  }

  async *[Symbol.asyncIterator](): AsyncIterator<Uint8Array> {
    const { timer } = this.#options;
    const finished = new AbortController();
    void this.#enforceIdleTimeout(finished.signal);
    try {
      const chunks = this.#source[Symbol.asyncIterator]();
      for (;;) {
        this.#waitingSince = this.#options.clock.now();
        const chunk = await chunks.next();
        this.#waitingSince = undefined;
        if (chunk.done) {
          return;
        }
        yield chunk.value;
      }
    } catch (thrown) {
      throw createBodyError(this.#options, thrown);
    } finally {
      finished.abort();
      timer.stop();
      this.#source.destroy();
    }
  }

  /** Runs as one task for the whole body; a timer for each chunk would cost more. */
  async #enforceIdleTimeout(finished: AbortSignal): Promise<void> {
    const { clock, timer, idleTimeoutMilliseconds } = this.#options;
    while (!finished.aborted) {
      const waitingSince = this.#waitingSince ?? clock.now();
      const remaining = waitingSince + idleTimeoutMilliseconds - clock.now();
      if (remaining <= 0) {
        timer.expire();
        return;
      }
      await clock.sleep(remaining, finished);
    }
  }
}

function createBodyError(
  options: EndpointBodyOptions,
  thrown: unknown,
): EndpointError {
  const { endpoint, timer } = options;
  if (timer.expired) {
    return new EndpointError(
      EndpointErrorKind.TimedOut,
      `The answer of endpoint "${endpoint}" stopped arriving`,
      thrown,
    );
  }
  if (timer.signal.aborted) {
    return new EndpointError(
      EndpointErrorKind.Cancelled,
      `The answer of endpoint "${endpoint}" was given up`,
      thrown,
    );
  }
  return new EndpointError(
    EndpointErrorKind.Lost,
    `The answer of endpoint "${endpoint}" broke off: ${describeError(thrown)}`,
    thrown,
  );
}

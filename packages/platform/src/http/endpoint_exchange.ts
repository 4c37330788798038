/** One exchange with an endpoint, up to the head of its answer. */

import { type Clock, describeError } from "@rattanvane/base";
import { err, ok, type Result } from "neverthrow";
import type { Dispatcher } from "undici";
import type { EndpointAddress, HttpHeader } from "../endpoint_client.ts";
import { EndpointError, EndpointErrorKind } from "../endpoint_error.ts";
import { addAbortListener } from "./abort_listener.ts";
import { parseBaseUrl } from "./base_url.ts";
import { CallTimer } from "./call_timer.ts";
import { type CheckedPool, createCheckedPool } from "./checked_pool.ts";
import { ConnectError, createConnector } from "./connector.ts";
import {
  convertFromIncoming,
  convertToFlatHeaders,
} from "./endpoint_headers.ts";

const STREAM_BUFFER_BYTES = 64 * 1024;

/** What an exchange is made of. */
export interface Exchange {
  method: string;
  path: string;
  headers: HttpHeader[];
  body: Uint8Array | null;
  firstByteTimeoutMilliseconds: number;
}

/** An answer whose body nobody has read yet; its reader stops the timer. */
export interface OpenAnswer {
  status: number;
  headers: HttpHeader[];
  source: Dispatcher.ResponseData["body"];
  timer: CallTimer;
}

/** Settings of the connections to endpoints. */
export interface EndpointConnectionsOptions {
  clock: Clock;
  connectTimeoutMilliseconds: number;
  localAddress: string;
}

interface EndpointPool extends CheckedPool {
  pathPrefix: string;
}

/** The connections to all endpoints, in one pool for each. */
export class EndpointConnections {
  readonly #options: EndpointConnectionsOptions;
  readonly #pools = new Map<string, EndpointPool>();
  readonly #owner: AbortSignal;

  constructor(options: EndpointConnectionsOptions, signal: AbortSignal) {
    this.#options = options;
    this.#owner = signal;
    addAbortListener(signal, () => this.#destroyPools());
  }

  /** Sends a call once and waits for the head of its answer. */
  async open(
    address: EndpointAddress,
    exchange: Exchange,
    signal: AbortSignal,
  ): Promise<Result<OpenAnswer, EndpointError>> {
    if (signal.aborted || this.#owner.aborted) {
      return err(createCancelledError(address));
    }
    const timer = new CallTimer(this.#options.clock, signal);
    timer.startLimit(exchange.firstByteTimeoutMilliseconds);
    try {
      const { dispatcher, pathPrefix } = this.#findPool(address);
      const answer = await dispatcher.request({
        method: exchange.method as Dispatcher.HttpMethod,
        path: pathPrefix + exchange.path,
        headers: convertToFlatHeaders(exchange.headers),
        body: exchange.body,
        signal: timer.signal,
        highWaterMark: STREAM_BUFFER_BYTES,
      });
      timer.stopLimit();
      return ok({
        status: answer.statusCode,
        headers: convertFromIncoming(answer.headers),
        source: answer.body,
        timer,
      });
    } catch (thrown) {
      timer.stop();
      return err(createExchangeError(address, { thrown, timer }));
    }
  }

  /** Closes the pools of endpoints that are not in use any more. */
  async closeUnused(inUse: readonly EndpointAddress[]): Promise<void> {
    const urls = new Set(inUse.map((address) => address.url));
    const unused = [...this.#pools].filter(([url]) => !urls.has(url));
    for (const [url] of unused) {
      this.#pools.delete(url);
    }
    await Promise.all(unused.map(([, { pool }]) => pool.close()));
  }

  #findPool(address: EndpointAddress): EndpointPool {
    const known = this.#pools.get(address.url);
    if (known !== undefined) {
      return known;
    }
    const { origin, pathPrefix } = parseBaseUrl(address.url);
    const checked = createCheckedPool(origin, {
      signal: this.#owner,
      connect: createConnector(this.#options),
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const created = { ...checked, pathPrefix };
    this.#pools.set(address.url, created);
    return created;
  }

  #destroyPools(): void {
    for (const { pool } of this.#pools.values()) {
      void pool.destroy();
    }
    this.#pools.clear();
  }
}

/** Ends an answer that nobody will read. */
export function stopAnswer(answer: OpenAnswer): void {
  answer.timer.stop();
  answer.source.on("error", () => {}).destroy();
}

/** Creates the error of a failed exchange; NotSent only without connection. */
export function createExchangeError(
  address: EndpointAddress,
  failure: { thrown: unknown; timer: CallTimer },
): EndpointError {
  const { thrown, timer } = failure;
  if (timer.expired) {
    return new EndpointError(
      EndpointErrorKind.TimedOut,
      `Endpoint "${address.endpoint}" did not answer in time`,
      thrown,
    );
  }
  if (timer.signal.aborted) {
    return createCancelledError(address);
  }
  const kind = thrown instanceof ConnectError
    ? EndpointErrorKind.NotSent
    : EndpointErrorKind.Lost;
  return new EndpointError(
    kind,
    `The call to endpoint "${address.endpoint}" failed: ${
      describeError(thrown)
    }`,
    thrown,
  );
}

function createCancelledError(address: EndpointAddress): EndpointError {
  return new EndpointError(
    EndpointErrorKind.Cancelled,
    `The call to endpoint "${address.endpoint}" was given up`,
  );
}

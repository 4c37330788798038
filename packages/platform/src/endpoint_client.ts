/** Contract of the endpoints: model engines and plain services. */

import type { Result } from "neverthrow";
import type { EndpointError } from "./endpoint_error.ts";

/** How an endpoint is reached. */
export interface EndpointAddress {
  endpoint: string;
  /** The base URL, without a final slash. */
  url: string;
}

/** What an endpoint reports of itself; the report lags. */
export interface LoadReport {
  /** Changes with each start of the endpoint. */
  bootId: string;
  uptimeMilliseconds: number;
  running: number;
  waiting: number;
  /** How many requests it says it can run at once; 0 when it does not say. */
  slots: number;
  /** How old the figures were when they were sent. */
  ageMilliseconds: number;
}

/** A header as it goes over the wire. */
export interface HttpHeader {
  name: string;
  value: string;
}

/** A call to an endpoint. */
export interface EndpointRequest {
  /** The answer must carry the same id. */
  attempt: string;
  method: string;
  /** Starts with a slash; may hold a query. */
  path: string;
  headers: HttpHeader[];
  body: Uint8Array;
  /** The longest time until the first byte of the answer. */
  firstByteTimeoutMilliseconds: number;
  /** The longest silence between two parts of the answer. */
  idleTimeoutMilliseconds: number;
}

/** An answer whose body is still arriving. */
export interface EndpointResponse {
  status: number;
  headers: HttpHeader[];
  /** Empty when the endpoint does not say. */
  bootId: string;
  /** Throws an EndpointError when the body breaks off. */
  body: AsyncIterable<Uint8Array>;
}

/** Reaches endpoints over HTTP. */
export abstract class EndpointClient {
  /**
   * Sends one attempt. The error's kind tells whether anything was sent; an
   * answer that does not carry the attempt's id is an error too.
   */
  abstract send(
    address: EndpointAddress,
    request: EndpointRequest,
    signal: AbortSignal,
  ): Promise<Result<EndpointResponse, EndpointError>>;

  /** Takes a broken stream up again at an offset, counted in stream events. */
  abstract resume(
    address: EndpointAddress,
    request: { attempt: string; offset: number },
    signal: AbortSignal,
  ): Promise<Result<EndpointResponse, EndpointError>>;

  /** Tells the endpoint that nobody waits for an attempt any more. */
  abstract cancel(
    address: EndpointAddress,
    attempt: string,
    signal: AbortSignal,
  ): Promise<Result<void, EndpointError>>;

  /** Reads the endpoint's lagging load report. */
  abstract readLoad(
    address: EndpointAddress,
    signal: AbortSignal,
  ): Promise<Result<LoadReport, EndpointError>>;
}

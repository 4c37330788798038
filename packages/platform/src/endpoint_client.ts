/** Interface of the endpoints: model engines and plain services. */

import type { Result } from "neverthrow";
import type { EndpointError } from "./endpoint_error.ts";

/** The address of an endpoint. */
export interface EndpointAddress {
  endpoint: string;
  /** The base URL, without a trailing slash. */
  url: string;
}

/** The load that an endpoint reports; it may be out of date. */
export interface LoadReport {
  /** Changes each time the endpoint starts. */
  bootId: string;
  uptimeMilliseconds: number;
  running: number;
  waiting: number;
  /** The number of requests that it can run concurrently; 0 if not reported. */
  slots: number;
  /** The age of the figures when they were sent. */
  ageMilliseconds: number;
}

/** An HTTP header as sent on the wire. */
export interface HttpHeader {
  name: string;
  value: string;
}

/** A request to an endpoint. */
export interface EndpointRequest {
  /** The response must carry the same id. */
  attempt: string;
  method: string;
  /** Starts with a slash; may include a query. */
  path: string;
  headers: HttpHeader[];
  body: Uint8Array;
  /** The maximum time until the first byte of the response. */
  firstByteTimeoutMilliseconds: number;
  /** The maximum time between two chunks of the response. */
  idleTimeoutMilliseconds: number;
}

/** A response whose body is still being received. */
export interface EndpointResponse {
  status: number;
  headers: HttpHeader[];
  /** Empty if the endpoint does not send it. */
  bootId: string;
  /** Throws an EndpointError if the body is truncated or fails. */
  body: AsyncIterable<Uint8Array>;
}

/** Reaches endpoints over HTTP. */
export abstract class EndpointClient {
  /**
   * Sends one attempt. The error's kind tells whether anything was sent; a
   * response that does not carry the attempt's id is an error too.
   */
  abstract send(
    address: EndpointAddress,
    request: EndpointRequest,
    signal: AbortSignal,
  ): Promise<Result<EndpointResponse, EndpointError>>;

  /** Resumes an interrupted stream at an offset, counted in stream events. */
  abstract resume(
    address: EndpointAddress,
    request: { attempt: string; offset: number },
    signal: AbortSignal,
  ): Promise<Result<EndpointResponse, EndpointError>>;

  /** Notifies the endpoint that no caller waits for an attempt any more. */
  abstract cancel(
    address: EndpointAddress,
    attempt: string,
    signal: AbortSignal,
  ): Promise<Result<void, EndpointError>>;

  /** Reads the endpoint's load report, which may be out of date. */
  abstract readLoad(
    address: EndpointAddress,
    signal: AbortSignal,
  ): Promise<Result<LoadReport, EndpointError>>;
}

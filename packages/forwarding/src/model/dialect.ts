/** Maps the headers of a deployment to the fields that the router needs. */

import type { IncomingHttpHeaders } from "node:http";
import type { CallIdentity } from "./call.ts";

/** The headers of a response, keyed by lower-case name. */
export type AnswerHeaders = Record<string, string | string[] | undefined>;

/** The values that the router sets in the headers of an attempt. */
export interface AttemptHeaders {
  endpoint: string;
  organisation: string | undefined;
  deadlineMilliseconds: number;
  /**
   * The stream resumes after this event; undefined forwards the caller's value.
   */
  lastEvent: string | undefined;
}

/** The load that an endpoint reports in its response. */
export interface ReportedLoad {
  running: number;
  waiting: number;
  /**
   * How long work takes at the moment, as a multiple of the usual time; unset if
   * the endpoint does not report it.
   */
  slowdown?: number;
}

/** The fields that the router reads from the headers of a response. */
export interface AnswerMetadata {
  /** The id of the request that the response belongs to. */
  request: string;
  /** The response carries a seal with which the endpoint vouches for it. */
  isSealed: boolean;
  /** The endpoint states that it did not run the request. */
  isNotRun: boolean;
  /** The response was re-encoded after the endpoint produced it. */
  isReencoded: boolean;
  /** The endpoint states that it is about to shut down. */
  isLeaving: boolean;
  load: ReportedLoad | undefined;
  /** For how long the endpoint wants no request from this VM. */
  retryAfterMilliseconds: number | undefined;
  /**
   * The requests a second that the endpoint takes from all VMs together;
   * infinite if it states no limit, undefined if its limit cannot be read.
   */
  requestsPerSecond: number | undefined;
}

/** Reads and writes the request and response headers of one deployment. */
export abstract class Dialect {
  /** Reads the headers of a caller's request; names are lower-case. */
  abstract readIdentity(headers: IncomingHttpHeaders): CallIdentity;

  /**
   * Builds the headers of an attempt from those of the caller; both lists
   * alternate names and values.
   */
  abstract buildHeaders(
    rawHeaders: readonly string[],
    attempt: AttemptHeaders,
  ): string[];

  /** Reads the headers of an endpoint's response. */
  abstract readAnswerMetadata(headers: AnswerHeaders): AnswerMetadata;
}

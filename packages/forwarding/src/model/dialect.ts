/** How requests and answers name what the router has to know. */

import type { IncomingHttpHeaders } from "node:http";
import type { CallIdentity } from "./call.ts";

/** The headers of an answer, lower-case names. */
export type AnswerHeaders = Record<string, string | string[] | undefined>;

/** What the router sets on a request to an endpoint. */
export interface AttemptHeaders {
  endpoint: string;
  organisation: string | undefined;
  deadlineMilliseconds: number;
  /** Goes on after this event; undefined leaves what the caller sent. */
  lastEvent: string | undefined;
}

/** The requests that an endpoint says it has. */
export interface EndpointLoadMarks {
  running: number;
  waiting: number;
}

/** What the headers of an answer say. */
export interface AnswerMarks {
  /** The request that the answer belongs to. */
  request: string;
  /** The endpoint vouches for the answer. */
  isSealed: boolean;
  /** The endpoint says that it did not run the request. */
  isNotRun: boolean;
  /** The answer is not what the endpoint made. */
  isRecoded: boolean;
  load: EndpointLoadMarks | undefined;
}

/** Reads and writes the headers of one deployment. */
export abstract class Dialect {
  abstract readIdentity(headers: IncomingHttpHeaders): CallIdentity;

  /** Builds the headers of an attempt from those of the caller. */
  abstract buildHeaders(
    rawHeaders: readonly string[],
    attempt: AttemptHeaders,
  ): string[];

  abstract readMarks(headers: AnswerHeaders): AnswerMarks;
}

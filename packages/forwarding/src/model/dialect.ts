/** How requests and answers name what the router has to know. */

import type { IncomingHttpHeaders } from "node:http";
import type { CallIdentity } from "./call.ts";

/** The headers of an answer, lower-case names. */
export type AnswerHeaders = Record<string, string | string[] | undefined>;

/** What is sent to an endpoint. */
export interface EndpointRequest {
  method: string;
  target: string;
  /** Names and values in turn. */
  headers: string[];
  body: Uint8Array;
}

/** The memory of a run that was stopped, at the endpoint that stopped it. */
export interface KeptMemory {
  /** Host and port. */
  address: string;
  handle: string;
}

/** What an endpoint answers to the order to move a run. */
export interface MoveAnswer {
  handle: string;
  /** Another endpoint has a copy; else only the one that stopped the run. */
  isCopied: boolean;
}

/** What the router sets on a request to an endpoint. */
export interface AttemptHeaders {
  endpoint: string;
  organisation: string | undefined;
  deadlineMilliseconds: number;
  /** Goes on after this event; undefined leaves what the caller sent. */
  lastEvent: string | undefined;
  /** Goes on from this memory; undefined for a new run. */
  memory?: KeptMemory | undefined;
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

  /** Builds the order to stop a run and copy its memory to an address. */
  abstract buildMove(request: string, destination: string): EndpointRequest;

  /** Reads the answer to that order; undefined when the run goes on. */
  abstract readMove(status: number, body: Uint8Array): MoveAnswer | undefined;

  /** Builds the order to give up the memory of a run that was stopped. */
  abstract buildMemoryRelease(handle: string): EndpointRequest;
}

/** The outcome of one attempt to serve a request at an endpoint. */

import type { AnswerHeaders } from "./dialect.ts";

/** What marks the end of a response's body. */
export enum AnswerFraming {
  /** Its length, or that it has no body. */
  Length = "length",
  /** The last chunk. */
  Chunks = "chunks",
  /** The end of its connection. */
  Connection = "connection",
}

/** A complete response of an endpoint, buffered in memory. */
export interface CompleteAnswer {
  status: number;
  headers: AnswerHeaders;
  body: Uint8Array;
}

/** How an attempt ended, and whether the endpoint ran the request. */
export enum OutcomeKind {
  /** A complete response arrived, or its stream was relayed to the end. */
  Answered = "answered",
  /** The endpoint ran the request and responded with a server error. */
  Failed = "failed",
  /** The endpoint did not run the request and will not run it later. */
  NotRun = "notRun",
  /**
   * Another process has taken over the endpoint's address; the request has not
   * run.
   */
  WrongInstance = "wrongInstance",
  /** No part of the request was sent. */
  NotSent = "notSent",
  /** The response is missing or incomplete; the request may have run. */
  Broken = "broken",
  /** The stream was interrupted after its first event. */
  StreamBroken = "streamBroken",
  /** The caller disconnected, or its deadline passed. */
  Stopped = "stopped",
}

/** The outcome of an attempt with its timings; times in milliseconds. */
export interface AttemptOutcome {
  kind: OutcomeKind;
  reason: string;
  /** The endpoint's response if it is complete and not a stream. */
  answer?: CompleteAnswer;
  /** The time to the first byte of the response; undefined without one. */
  firstMilliseconds?: number;
  /** The longest interval between two events of a stream. */
  longestPauseMilliseconds: number;
  /** When that interval ended, measured from when the attempt was sent. */
  pauseAt: number;
  durationMilliseconds: number;
  /** Whether the endpoint stated in its response that it shuts down. */
  isLeaving: boolean;
  /** Undefined if no response began. */
  framing: AnswerFraming | undefined;
}

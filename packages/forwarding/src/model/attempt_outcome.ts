/** How one attempt at an endpoint ended. */

import type { AnswerHeaders } from "./dialect.ts";

/** What an endpoint answered, whole. */
export interface WholeAnswer {
  status: number;
  headers: AnswerHeaders;
  body: Uint8Array;
}

/** What an attempt came to. */
export enum OutcomeKind {
  /** The endpoint's answer is there, or was passed on as a stream. */
  Answered = "answered",
  /** The endpoint's own failure; the request has run. */
  Failed = "failed",
  /** The request has not run and will not. */
  NotRun = "notRun",
  /** Another process has the endpoint's address; the request has not run. */
  WrongInstance = "wrongInstance",
  /** Nothing was sent. */
  NotSent = "notSent",
  /** No whole answer; the request may have run. */
  Broken = "broken",
  /** A stream broke off after its first event. */
  StreamBroken = "streamBroken",
  /** The caller left, or the time is over. */
  Stopped = "stopped",
}

/** The end of an attempt. */
export interface AttemptOutcome {
  kind: OutcomeKind;
  reason: string;
  /** The endpoint's answer where it is whole and not a stream. */
  answer?: WholeAnswer;
  /** The time to the first byte of the answer; undefined without one. */
  firstMilliseconds?: number;
  /** The longest time between two events of a stream. */
  longestPauseMilliseconds: number;
  /** When that pause ended, counted from when the attempt was sent. */
  pauseAt: number;
  durationMilliseconds: number;
}

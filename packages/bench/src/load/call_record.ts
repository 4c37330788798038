/** What became of one call, as its caller saw it. */

/** How a call ended. */
export enum CallVerdict {
  /** The whole answer to the call, byte for byte. */
  Whole = "whole",
  /** A part of the answer that looks whole. */
  Short = "short",
  /** Text that does not belong to the call. */
  Wrong = "wrong",
  /** A part of the answer that shows that it is not whole. */
  Broken = "broken",
  /** An error in place of an answer. */
  Refused = "refused",
  /** No answer at all. */
  Unreachable = "unreachable",
}

/** A call and its end; all times are in milliseconds of the clock. */
export interface CallRecord {
  organisation: string;
  /** The router's URL that was called. */
  url: string;
  verdict: CallVerdict;
  /** The HTTP status; 0 when there was no answer. */
  status: number;
  /** The router's name of the request; may be empty. */
  requestId: string;
  /** `not_run`, `unknown` or empty. */
  outcome: string;
  text: string;
  /** Tokens of text that came in. */
  tokens: number;
  startedAt: number;
  /** When the first text came; undefined when none did. */
  firstTextAt: number | undefined;
  endedAt: number;
  /** The place of the last event, for a resume; may be empty. */
  lastEventId: string;
  /** Names the stream, for a resume; may be empty. */
  streamId: string;
  /** What the error said; empty when there was none. */
  problem: string;
}

/** What a caller received, and what it takes to judge it. */
export interface ReceivedAnswer {
  /** The whole answer as the engine gives it. */
  expected: string;
  text: string;
  /** Whether the answer ended in the way that whole ones do. */
  looksWhole: boolean;
}

/** Judges an answer with status 200. */
export function judgeAnswer(answer: ReceivedAnswer): CallVerdict {
  if (!answer.expected.startsWith(answer.text)) {
    return CallVerdict.Wrong;
  }
  if (!answer.looksWhole) {
    return CallVerdict.Broken;
  }
  return answer.text === answer.expected
    ? CallVerdict.Whole
    : CallVerdict.Short;
}

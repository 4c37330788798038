/** Errors of keys. */

import { ProductError } from "@rattanvane/base";
import { ExecutionKind } from "./execution.ts";

/** Why a key cannot be used for a call. */
export enum KeyErrorKind {
  Malformed = "malformed",
  /** Its date lies too far in the future. */
  Future = "future",
  Undated = "undated",
  Expired = "expired",
  /** It was used for another method, path or body. */
  Mismatch = "mismatch",
  /** It was not issued to this organisation, or not by this fleet. */
  NotIssued = "notIssued",
}

interface KindDescription {
  problem: string;
  remedy: string;
  outcome: ExecutionKind.NotRun | ExecutionKind.Unknown;
}

const DESCRIPTIONS: Record<KeyErrorKind, KindDescription> = {
  [KeyErrorKind.Malformed]: {
    problem: "is not a usable key",
    remedy: "use 1 to 255 visible ASCII characters, for example a UUIDv7",
    outcome: ExecutionKind.NotRun,
  },
  [KeyErrorKind.Future]: {
    problem: "carries a date in the future",
    remedy: "set the clock that the key was made with",
    outcome: ExecutionKind.NotRun,
  },
  [KeyErrorKind.Undated]: {
    problem: "carries no date",
    remedy: "use a UUIDv7 or a key from POST /v1/keys",
    outcome: ExecutionKind.Unknown,
  },
  [KeyErrorKind.Expired]: {
    problem: "has expired",
    remedy: "find out whether the call ran; use a new key only for a new call",
    outcome: ExecutionKind.Unknown,
  },
  [KeyErrorKind.Mismatch]: {
    problem: "belongs to a call with another method, path or body",
    remedy: "use a new key for a new call; nothing of this call was sent",
    outcome: ExecutionKind.Unknown,
  },
  [KeyErrorKind.NotIssued]: {
    problem: "was not issued to this organisation",
    remedy: "ask for a key with POST /v1/keys",
    outcome: ExecutionKind.NotRun,
  },
};

const LONGEST_SHOWN_KEY = 80;

/** A key that cannot be used for a call. */
export class KeyError extends ProductError<KeyErrorKind> {
  /** What is known of earlier calls with the key. */
  readonly outcome: ExecutionKind.NotRun | ExecutionKind.Unknown;

  constructor(kind: KeyErrorKind, key: string) {
    const { problem, remedy, outcome } = DESCRIPTIONS[kind];
    const shown = key.slice(0, LONGEST_SHOWN_KEY);
    super({ kind, problem: `The key "${shown}" ${problem}`, remedy });
    this.outcome = outcome;
  }
}

/** Whether a text is the name of a kind; for errors of other VMs. */
export function isKeyErrorKind(text: string): text is KeyErrorKind {
  return Object.hasOwn(DESCRIPTIONS, text);
}

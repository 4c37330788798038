/** Errors of idempotency keys. */

import { ProductError } from "@rattanvane/base";
import { ExecutionKind } from "./execution.ts";

/** Why a key cannot be used for a call. */
export enum KeyErrorKind {
  Malformed = "malformed",
  /** Its date is too far in the future. */
  Future = "future",
  /** It contains no date, although the settings require one. */
  Undated = "undated",
  Expired = "expired",
  /** It was used for another method, path or body. */
  Mismatch = "mismatch",
  /** It was not issued to this organisation or not by this process. */
  NotIssued = "notIssued",
}

interface KindDescription {
  problem: string;
  remedy: string;
  outcome: ExecutionKind.NotRun | ExecutionKind.Unknown;
}

const DESCRIPTIONS: Record<KeyErrorKind, KindDescription> = {
  [KeyErrorKind.Malformed]: {
    problem: "is malformed",
    remedy: "use 1 to 255 visible ASCII characters, for example a UUIDv7",
    outcome: ExecutionKind.NotRun,
  },
  [KeyErrorKind.Future]: {
    problem: "has a date in the future",
    remedy: "correct the clock of the client that generated the key",
    outcome: ExecutionKind.NotRun,
  },
  [KeyErrorKind.Undated]: {
    problem: "contains no date",
    remedy: "use a UUIDv7 or a key from POST /v1/keys",
    outcome: ExecutionKind.Unknown,
  },
  [KeyErrorKind.Expired]: {
    problem: "has expired",
    remedy: "find out whether the call ran; use a new key only for a new call",
    outcome: ExecutionKind.Unknown,
  },
  [KeyErrorKind.Mismatch]: {
    problem: "was used for a call with another method, path or body",
    remedy: "use a new key for a new call; nothing of this call was sent",
    outcome: ExecutionKind.Unknown,
  },
  [KeyErrorKind.NotIssued]: {
    problem: "was not issued to this organisation",
    remedy: "request a key with POST /v1/keys",
    outcome: ExecutionKind.NotRun,
  },
};

const MAXIMUM_SHOWN_KEY_CHARACTERS = 80;

/** A key that cannot be used for a call. */
export class KeyError extends ProductError<KeyErrorKind> {
  /** The outcome of earlier calls with the key, as far as it is known. */
  readonly outcome: ExecutionKind.NotRun | ExecutionKind.Unknown;

  constructor(kind: KeyErrorKind, key: string) {
    const { problem, remedy, outcome } = DESCRIPTIONS[kind];
    const shown = key.slice(0, MAXIMUM_SHOWN_KEY_CHARACTERS);
    super({ kind, problem: `The key "${shown}" ${problem}`, remedy });
    this.outcome = outcome;
  }
}

/** Whether a text that another VM sent names a kind. */
export function isKeyErrorKind(text: string): text is KeyErrorKind {
  return Object.hasOwn(DESCRIPTIONS, text);
}

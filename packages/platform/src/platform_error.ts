/** Errors of the platform's services. */

import { ProductError } from "@rattanvane/base";

/** The kinds of platform errors. */
export enum PlatformErrorKind {
  /** Nothing was sent, or the platform reported that nothing was done. */
  Unavailable = "unavailable",
  /** The response was lost; a write may have taken effect. */
  OutcomeUnknown = "outcomeUnknown",
  /** A condition of the transaction did not hold; nothing was written. */
  Conflict = "conflict",
  /** The platform or the local call budget deferred the call; nothing was done. */
  RateLimited = "rateLimited",
  BadResponse = "badResponse",
  NotFound = "notFound",
  /** The requested changes are no longer retained. */
  HistoryGone = "historyGone",
}

/** An error of a platform service. */
export class PlatformError extends ProductError<PlatformErrorKind> {
  /** The keys whose conditions did not hold; empty unless it is a conflict. */
  readonly conflicts: readonly string[];

  constructor(
    kind: PlatformErrorKind,
    problem: string,
    options: { conflicts?: readonly string[]; cause?: unknown } = {},
  ) {
    super({ kind, problem, remedy: REMEDIES[kind], cause: options.cause });
    this.conflicts = options.conflicts ?? [];
  }
}

const REMEDIES: Record<PlatformErrorKind, string> = {
  [PlatformErrorKind.Unavailable]:
    "check that the platform is up and its address in the settings is right",
  [PlatformErrorKind.OutcomeUnknown]:
    "read the row again to learn whether the write took effect",
  [PlatformErrorKind.Conflict]: "read the rows that changed and decide again",
  [PlatformErrorKind.RateLimited]: "wait and retry with backoff",
  [PlatformErrorKind.BadResponse]:
    "check that the address in the settings is the platform's",
  [PlatformErrorKind.NotFound]: "check the name",
  [PlatformErrorKind.HistoryGone]: "read the whole table and go on from there",
};

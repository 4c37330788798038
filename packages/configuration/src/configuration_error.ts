/** Errors of the configuration and its change log. */

import { ProductError } from "@rattanvane/base";
import type { Change } from "./change.ts";

/** The reasons for which a change is rejected or the log cannot be read. */
export enum ConfigurationErrorKind {
  BadValue = "badValue",
  UnknownReference = "unknownReference",
  /** The part to remove does not exist. */
  NotFound = "notFound",
  /** The part to remove is still referenced. */
  InUse = "inUse",
  /** The bearer key or URL is already in use. */
  Duplicate = "duplicate",
  TooLarge = "tooLarge",
  /** Another change was accepted first; nothing was written. */
  Conflict = "conflict",
  /** The platform could not be reached; nothing was written. */
  PlatformUnavailable = "platformUnavailable",
  /** The change may have been accepted; look its id up in the log. */
  OutcomeUnknown = "outcomeUnknown",
  /** This version cannot decode a log row or a snapshot. */
  Unreadable = "unreadable",
}

/** Options of a configuration error. */
export interface ConfigurationErrorOptions {
  kind: ConfigurationErrorKind;
  problem: string;
  remedy: string;
  /** The changes that were accepted first; only set for conflicts. */
  meanwhile?: readonly Change[];
  cause?: unknown;
}

/** Reports a rejected change or a failure of the change log. */
export class ConfigurationError extends ProductError<ConfigurationErrorKind> {
  readonly meanwhile: readonly Change[];

  constructor(options: ConfigurationErrorOptions) {
    super(options);
    this.meanwhile = options.meanwhile ?? [];
  }
}

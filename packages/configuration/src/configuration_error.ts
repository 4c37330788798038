/** Errors of the configuration and its change log. */

import { ProductError } from "@rattanvane/base";
import type { Change } from "./change.ts";

/** What is wrong with a change, or why it was not accepted. */
export enum ConfigurationErrorKind {
  BadValue = "badValue",
  UnknownReference = "unknownReference",
  /** Something is to be removed that is not there. */
  NotFound = "notFound",
  /** Something is to be removed that others refer to. */
  InUse = "inUse",
  /** A bearer key or URL that something else has already. */
  Duplicate = "duplicate",
  TooLarge = "tooLarge",
  /** Another change was accepted first; nothing was written. */
  Conflict = "conflict",
  /** The platform could not be reached; nothing was written. */
  PlatformUnavailable = "platformUnavailable",
  /** The change may have been accepted; its id tells. */
  OutcomeUnknown = "outcomeUnknown",
  /** A row of the log or a snapshot cannot be read by this version. */
  Unreadable = "unreadable",
}

/** What an error is made of. */
export interface ConfigurationErrorOptions {
  kind: ConfigurationErrorKind;
  problem: string;
  remedy: string;
  /** The changes that were accepted meanwhile; only for conflicts. */
  meanwhile?: readonly Change[];
  cause?: unknown;
}

/** An error of a change or of the log. */
export class ConfigurationError extends ProductError<ConfigurationErrorKind> {
  readonly meanwhile: readonly Change[];

  constructor(options: ConfigurationErrorOptions) {
    super(options);
    this.meanwhile = options.meanwhile ?? [];
  }
}

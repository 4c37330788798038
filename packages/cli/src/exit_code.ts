/** The exit codes that scripts can rely on. */

import {
  type ConfigurationError,
  ConfigurationErrorKind,
} from "@rattanvane/configuration";

/** How a command ended. */
export enum ExitCode {
  Ok = 0,
  Failed = 1,
  Usage = 2,
  /** Another change was accepted first; nothing was changed. */
  Conflict = 3,
  /** The platform or the VM could not be reached; nothing was changed. */
  Unavailable = 4,
  /** The change may have been accepted. */
  OutcomeUnknown = 5,
  /** A file or a change has faults; nothing was changed. */
  Invalid = 6,
}

const CODES: Partial<Record<ConfigurationErrorKind, ExitCode>> = {
  [ConfigurationErrorKind.Conflict]: ExitCode.Conflict,
  [ConfigurationErrorKind.PlatformUnavailable]: ExitCode.Unavailable,
  [ConfigurationErrorKind.OutcomeUnknown]: ExitCode.OutcomeUnknown,
  [ConfigurationErrorKind.Unreadable]: ExitCode.Failed,
};

/** Picks the exit code for errors of a change. */
export function pickExitCode(errors: readonly ConfigurationError[]): ExitCode {
  const kind = errors[0]?.kind;
  return (kind === undefined ? undefined : CODES[kind]) ?? ExitCode.Invalid;
}

/** Errors of the test bench. */

import { ProductError } from "@rattanvane/base";

/** What went wrong in the bench itself. */
export enum BenchErrorKind {
  /** A process did not start or ended by itself. */
  Process = "process",
  /** An admin call of a stand-in was refused. */
  Admin = "admin",
  /** The configuration was not accepted. */
  Configuration = "configuration",
  /** Something did not come about in time. */
  TimedOut = "timedOut",
  /** What was seen is not what is promised. */
  Broken = "broken",
}

/** An error of the bench. */
export class BenchError extends ProductError<BenchErrorKind> {
  constructor(kind: BenchErrorKind, problem: string, cause?: unknown) {
    super({ kind, problem, remedy: REMEDIES[kind], cause });
  }
}

const REMEDIES: Record<BenchErrorKind, string> = {
  [BenchErrorKind.Process]: "read the process's last lines above",
  [BenchErrorKind.Admin]: "check the call against docs/emulator.md",
  [BenchErrorKind.Configuration]: "mend the operations",
  [BenchErrorKind.TimedOut]: "search the routers' logs for the cause",
  [BenchErrorKind.Broken]: "search the routers' logs for the cause",
};

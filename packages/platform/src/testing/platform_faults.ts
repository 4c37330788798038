/** Faults that a test injects into the in-memory platform. */

import type { Clock } from "@rattanvane/base";
import { err, ok, type Result } from "neverthrow";
import { PlatformError, PlatformErrorKind } from "../platform_error.ts";

/** The injected faults; several fakes can share one object. */
export class PlatformFaults {
  /** Every call fails and nothing is done. */
  outage = false;
  /** The number of further writes that take effect although their responses are
   * lost. */
  lostAnswers = 0;
  /** The delay of each response, in milliseconds. */
  delayMilliseconds = 0;
  /** Calls received, for tests of budgets. */
  reads = 0;
  writes = 0;

  readonly #clock: Clock;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Runs a read with the active faults. */
  async read<Value>(
    run: () => Value,
    signal: AbortSignal,
  ): Promise<Result<Value, PlatformError>> {
    this.reads++;
    await this.#wait(signal);
    if (this.outage || signal.aborted) {
      return err(createError(PlatformErrorKind.Unavailable));
    }
    return ok(run());
  }

  /** Runs a write with the active faults. */
  async write<Value>(
    run: () => Result<Value, PlatformError>,
    signal: AbortSignal,
  ): Promise<Result<Value, PlatformError>> {
    this.writes++;
    if (this.outage || signal.aborted) {
      await this.#wait(signal);
      return err(createError(PlatformErrorKind.Unavailable));
    }
    const result = run();
    await this.#wait(signal);
    if (signal.aborted) {
      return err(createError(PlatformErrorKind.OutcomeUnknown));
    }
    if (this.lostAnswers > 0) {
      this.lostAnswers--;
      return err(createError(PlatformErrorKind.OutcomeUnknown));
    }
    return result;
  }

  async #wait(signal: AbortSignal): Promise<void> {
    if (this.delayMilliseconds > 0) {
      await this.#clock.sleep(this.delayMilliseconds, signal);
    }
  }
}

function createError(kind: PlatformErrorKind): PlatformError {
  return new PlatformError(kind, "The in-memory platform has a fault");
}

/** Waits on conditions in the running fleet. */

import { setTimeout as delay } from "node:timers/promises";
import { BenchError, BenchErrorKind } from "./bench_error.ts";

const POLL_MILLISECONDS = 20;

/** How long to wait, and what for. */
export interface WaitOptions {
  /** Completes the sentence "timed out waiting until ...". */
  until: string;
  timeoutMilliseconds: number;
}

/** Waits until a condition holds; throws when it does not in time. */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
  options: WaitOptions,
  signal: AbortSignal,
): Promise<void> {
  const deadline = performance.now() + options.timeoutMilliseconds;
  while (!await condition()) {
    if (performance.now() > deadline) {
      throw new BenchError(
        BenchErrorKind.TimedOut,
        `Timed out waiting until ${options.until}`,
      );
    }
    await delay(POLL_MILLISECONDS, undefined, { signal });
  }
}

/** Deadlines on tasks. */

import { ChildAbort } from "./child_abort.ts";
import type { Clock } from "./clock.ts";

/** A deadline that calls back unless it is cleared in time. */
export interface DeadlineOptions {
  clock: Clock;
  milliseconds: number;
  /** Called once when the time is over. */
  expire: () => void;
}

/** Runs a task and calls `expire` when it takes longer than allowed. */
export async function runWithDeadline<Value>(
  task: () => Promise<Value>,
  options: DeadlineOptions,
  signal: AbortSignal,
): Promise<Value> {
  const timer = new ChildAbort(signal);
  options.clock.sleep(options.milliseconds, timer.signal).then(() => {
    if (!timer.signal.aborted) {
      options.expire();
    }
  });
  try {
    return await task();
  } finally {
    timer.abort();
  }
}

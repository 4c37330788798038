/** Deadlines for asynchronous tasks. */

import { ChildAbort } from "./child_abort.ts";
import type { Clock } from "./clock.ts";

/** A deadline and the callback that runs when it is exceeded. */
export interface DeadlineOptions {
  clock: Clock;
  milliseconds: number;
  /** Called once when the deadline is exceeded. */
  expire: () => void;
}

/**
 * Runs a task and calls `expire` if it exceeds the deadline. `expire` has to end
 * the task, whose result or error is returned in any case.
 */
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

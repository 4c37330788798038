/** Tells the user what a slow command is waiting for. */

import type { CommandEnvironment } from "./command_environment.ts";

const FIRST_NOTE_MILLISECONDS = 1_000;
const NEXT_NOTE_MILLISECONDS = 5_000;

/** Runs a task and writes a note when it takes longer than a second. */
export async function runWithProgress<Value>(
  task: Promise<Value>,
  options: { environment: CommandEnvironment; doing: string },
): Promise<Value> {
  const { doing, environment } = options;
  const done = new AbortController();
  const notes = printNotes(doing, { environment, signal: done.signal });
  try {
    return await task;
  } finally {
    done.abort();
    await notes;
  }
}

async function printNotes(
  doing: string,
  options: { environment: CommandEnvironment; signal: AbortSignal },
): Promise<void> {
  const { environment, signal } = options;
  let pause = FIRST_NOTE_MILLISECONDS;
  for (;;) {
    await environment.clock.sleep(pause, signal);
    if (signal.aborted) {
      return;
    }
    environment.printError(`still ${doing} ...\n`);
    pause = NEXT_NOTE_MILLISECONDS;
  }
}

/** Runs the operators' command line as operators do. */

import { BenchError, BenchErrorKind } from "../common/bench_error.ts";
import { ManagedProcess } from "../fleet/managed_process.ts";
import { RATTANVANE_PROGRAM } from "../fleet/programs.ts";

/** Runs a command to its end; throws when it fails. */
export async function runCommandLine(
  words: readonly string[],
  options: { platformUrl: string },
  signal: AbortSignal,
): Promise<void> {
  const process = new ManagedProcess({
    name: `rattanvane ${words.join(" ")}`,
    program: RATTANVANE_PROGRAM,
    words: [...words, "--platform", options.platformUrl],
  }, signal);
  const end = await process.ended;
  if (end.code !== 0) {
    throw new BenchError(
      BenchErrorKind.Process,
      `"${process.name}" ended with ${end.code ?? end.signal}`,
      process.createEndError(),
    );
  }
}

/** Runs a stand-in as a process of its own. */

import process from "node:process";

/** What a stand-in tells once it listens. */
export interface ReadyReport {
  port: number;
  /** The port of the admin's calls, where it is another one. */
  adminPort?: number;
}

/** Starts a stand-in, reports its ports and ends it on SIGTERM. */
export async function runProgram(
  start: (signal: AbortSignal) => Promise<ReadyReport>,
): Promise<void> {
  const end = new AbortController();
  process.once("SIGTERM", () => end.abort());
  process.once("SIGINT", () => end.abort());
  end.signal.addEventListener("abort", () => process.exit(0), { once: true });
  const report = await start(end.signal);
  process.stdout.write(`${JSON.stringify({ ready: true, ...report })}\n`);
}

/** Creates a name that differs between processes, for boot ids. */
export function createInstanceName(): string {
  return `${process.pid.toString(36)}-${Date.now().toString(36)}`;
}

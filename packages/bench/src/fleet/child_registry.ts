/** Makes sure that no child process outlives the bench. */

import type { ChildProcess } from "node:child_process";
import process from "node:process";

const END_SIGNALS = ["SIGINT", "SIGTERM", "SIGHUP"] as const;

const children = new Set<ChildProcess>();
let watching = false;

/** Registers a child; it is killed when the bench ends in whatever way. */
export function registerChild(child: ChildProcess): void {
  startWatching();
  children.add(child);
  child.once("exit", () => children.delete(child));
}

function startWatching(): void {
  if (watching) {
    return;
  }
  watching = true;
  process.on("exit", stopChildren);
  for (const signal of END_SIGNALS) {
    process.once(signal, () => {
      stopChildren();
      // The handler is gone by now, so the signal has its usual effect.
      process.kill(process.pid, signal);
    });
  }
}

function stopChildren(): void {
  for (const child of children) {
    child.kill("SIGKILL");
  }
}

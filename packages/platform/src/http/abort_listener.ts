/** Listens to abort signals that many calls share. */

import { setMaxListeners } from "node:events";

/** Calls the listener at the abort; returns what takes it away again. */
export function addAbortListener(
  signal: AbortSignal,
  listener: () => void,
): () => void {
  // Hundreds of calls under one owner are ordinary and no leak.
  setMaxListeners(0, signal);
  signal.addEventListener("abort", listener, { once: true });
  return () => signal.removeEventListener("abort", listener);
}

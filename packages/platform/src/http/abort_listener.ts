/** Listeners on abort signals that are shared by many calls. */

import { setMaxListeners } from "node:events";

/** Calls the listener once on abort; returns a function that removes it. */
export function addAbortListener(
  signal: AbortSignal,
  listener: () => void,
): () => void {
  // Hundreds of calls may share one signal; without this, Node.js would report
  // a listener leak.
  setMaxListeners(0, signal);
  signal.addEventListener("abort", listener, { once: true });
  return () => signal.removeEventListener("abort", listener);
}

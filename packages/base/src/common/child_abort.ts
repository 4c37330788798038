/** Hierarchical abort signals. */

import { setMaxListeners } from "node:events";

/** Creates the root of a tree of abort signals, without a limit on listeners. */
export function createLifetime(): AbortController {
  const controller = new AbortController();
  setMaxListeners(0, controller.signal);
  return controller;
}

/**
 * Used for all aborts: without a reason, each of them would create an exception
 * with its stack trace.
 */
const ABORT_REASON = new Error("The operation was aborted by its owner");

/** An abort controller linked to a parent signal; its listener is removed on abort. */
export class ChildAbort {
  readonly #controller = createLifetime();
  readonly #parent: AbortSignal;
  readonly #onParentAbort = () => this.abort();

  constructor(parent: AbortSignal) {
    this.#parent = parent;
    if (parent.aborted) {
      this.#controller.abort(ABORT_REASON);
      return;
    }
    parent.addEventListener("abort", this.#onParentAbort, { once: true });
  }

  /** Signal that aborts when the parent aborts or `abort` is called. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Aborts this signal and removes the listener from the parent. */
  abort(): void {
    this.#parent.removeEventListener("abort", this.#onParentAbort);
    this.#controller.abort(ABORT_REASON);
  }
}

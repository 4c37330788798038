/** Abort signals that end with their parent or on their own. */

import { setMaxListeners } from "node:events";

/** Creates the root of a tree of signals; it may have any number of users. */
export function createLifetime(): AbortController {
  const controller = new AbortController();
  setMaxListeners(0, controller.signal);
  return controller;
}

/** A signal below another one; it leaves nothing behind at its parent. */
export class ChildAbort {
  readonly #controller = createLifetime();
  readonly #parent: AbortSignal;
  readonly #follow = () => this.abort();

  constructor(parent: AbortSignal) {
    this.#parent = parent;
    if (parent.aborted) {
      this.#controller.abort();
      return;
    }
    parent.addEventListener("abort", this.#follow, { once: true });
  }

  /** Aborts when the parent aborts or `abort` is called. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Aborts this signal and lets go of the parent. */
  abort(): void {
    this.#parent.removeEventListener("abort", this.#follow);
    this.#controller.abort();
  }
}

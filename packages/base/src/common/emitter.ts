/** Typed notifications between objects of one process. */

/** Delivers each value to every listener whose signal has not aborted. */
export class Emitter<Value> {
  readonly #listeners = new Set<(value: Value) => void>();

  /** Adds a listener until the signal aborts. */
  listen(listener: (value: Value) => void, signal: AbortSignal): void {
    if (signal.aborted) {
      return;
    }
    this.#listeners.add(listener);
    signal.addEventListener("abort", () => this.#listeners.delete(listener), {
      once: true,
    });
  }

  /** Calls every listener in the order in which they were added. */
  emit(value: Value): void {
    for (const listener of [...this.#listeners]) {
      listener(value);
    }
  }
}

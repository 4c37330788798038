/** Typed in-process events. */

/** Notifies every registered listener of each emitted value. */
export class Emitter<Value> {
  readonly #listeners = new Set<(value: Value) => void>();

  /** Registers a listener and removes it when the signal aborts. */
  listen(listener: (value: Value) => void, signal: AbortSignal): void {
    if (signal.aborted) {
      return;
    }
    this.#listeners.add(listener);
    signal.addEventListener("abort", () => this.#listeners.delete(listener), {
      once: true,
    });
  }

  /** Calls all listeners synchronously, in the order of their registration. */
  emit(value: Value): void {
    for (const listener of [...this.#listeners]) {
      listener(value);
    }
  }
}

/** A promise that is settled externally. */

/** Exposes a promise together with the functions that settle it. */
export class Deferred<Value> {
  readonly promise: Promise<Value>;
  #resolve!: (value: Value) => void;
  #reject!: (reason: Error) => void;
  #isSettled = false;

  constructor() {
    this.promise = new Promise<Value>((resolve, reject) => {
      this.#resolve = resolve;
      this.#reject = reject;
    });
  }

  /** Whether the promise was fulfilled or rejected. */
  get isSettled(): boolean {
    return this.#isSettled;
  }

  /** Fulfils the promise; has no effect once it is settled. */
  resolve(value: Value): void {
    this.#isSettled = true;
    this.#resolve(value);
  }

  /** Rejects the promise; has no effect once it is settled. */
  reject(reason: Error): void {
    this.#isSettled = true;
    this.#reject(reason);
  }
}

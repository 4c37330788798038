/** Continuous batching: each step gives every running request a token. */

import { type Clock, Deferred } from "@rattanvane/base";
import { type Generation, GenerationState } from "./generation.ts";

/** What a batch needs. */
export interface BatchOptions {
  clock: Clock;
  tokenMilliseconds: number;
  /** Called when the set of running requests has changed. */
  onChange: (running: number) => void;
  /** Called after each token of a request. */
  onToken: (generation: Generation) => void;
}

/** The requests that run in one boot of an engine. */
export class Batch {
  readonly #options: BatchOptions;
  readonly #signal: AbortSignal;
  readonly #running = new Set<Generation>();
  #work = new Deferred<void>();
  /** Time that requests have run, added up over the requests. */
  #slotMilliseconds = 0;
  #changedAt: number;

  constructor(options: BatchOptions, signal: AbortSignal) {
    this.#options = options;
    this.#signal = signal;
    this.#changedAt = options.clock.now();
    signal.addEventListener("abort", () => this.#work.resolve(), {
      once: true,
    });
    void this.#run();
  }

  /** How many requests run. */
  get size(): number {
    return this.#running.size;
  }

  /** Slot time used so far, in milliseconds. */
  get slotMilliseconds(): number {
    this.#account();
    return this.#slotMilliseconds;
  }

  /** Admits a request; it gets its tokens from the next step on. */
  add(generation: Generation): void {
    this.#account();
    this.#running.add(generation);
    this.#options.onChange(this.size);
    this.#work.resolve();
  }

  /** Takes a request out and ends it. */
  remove(generation: Generation, state: GenerationState): void {
    this.#account();
    if (this.#running.delete(generation)) {
      this.#options.onChange(this.size);
    }
    generation.finish(state);
  }

  /** Ends all requests; returns how many there were. */
  clear(state: GenerationState): number {
    const generations = [...this.#running];
    for (const generation of generations) {
      this.remove(generation, state);
    }
    return generations.length;
  }

  async #run(): Promise<void> {
    while (!this.#signal.aborted) {
      if (this.size === 0) {
        this.#work = new Deferred<void>();
        await this.#work.promise;
        continue;
      }
      await this.#options.clock.sleep(
        this.#options.tokenMilliseconds,
        this.#signal,
      );
      this.#step();
    }
  }

  #step(): void {
    const now = this.#options.clock.now();
    for (const generation of [...this.#running]) {
      if (this.#signal.aborted) {
        return;
      }
      if (generation.firstTokenAt <= now) {
        this.#advance(generation);
      }
    }
  }

  #advance(generation: Generation): void {
    if (!generation.isWhole) {
      generation.addToken();
      this.#options.onToken(generation);
    }
    if (generation.isWhole) {
      this.remove(generation, GenerationState.Completed);
    }
  }

  #account(): void {
    const now = this.#options.clock.now();
    this.#slotMilliseconds += this.size * (now - this.#changedAt);
    this.#changedAt = now;
  }
}

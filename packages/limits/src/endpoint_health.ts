/** Judges whether an endpoint is up, and when one that is down is tried. */

import {
  type Clock,
  computeBackoff,
  type RandomSource,
} from "@rattanvane/base";
import type { EndpointLimitSettings } from "./settings.ts";

/** What is believed of an endpoint. */
export enum EndpointState {
  Up = "up",
  /** Nothing is sent until the next trial. */
  Down = "down",
  /** One request at a time may try it. */
  HalfOpen = "halfOpen",
}

/** Tells a dead endpoint from a slow one. */
export class EndpointHealth {
  readonly #settings: EndpointLimitSettings;
  readonly #clock: Clock;
  readonly #random: RandomSource;
  #state = EndpointState.Up;
  #failures = 0;
  #trials = 0;
  #tryAt = 0;
  #aliveAt = -Infinity;

  constructor(
    settings: EndpointLimitSettings,
    options: { clock: Clock; random: RandomSource },
  ) {
    this.#settings = settings;
    this.#clock = options.clock;
    this.#random = options.random;
  }

  get state(): EndpointState {
    if (
      this.#state === EndpointState.Down && this.#clock.now() >= this.#tryAt
    ) {
      this.#state = EndpointState.HalfOpen;
    }
    return this.#state;
  }

  /** Takes in bytes of an answer, or its end. */
  recordAlive(): void {
    this.#aliveAt = this.#clock.now();
    this.#failures = 0;
  }

  /** Takes in a whole answer, which ends any trial. */
  recordSuccess(): void {
    this.recordAlive();
    this.#state = EndpointState.Up;
    this.#trials = 0;
  }

  /** Takes in a load report: it answers, so a trial may start at once. */
  recordReport(): void {
    this.recordAlive();
    if (this.#state === EndpointState.Down) {
      this.#state = EndpointState.HalfOpen;
    }
  }

  /** Takes in a refused connection, which is certain. */
  recordRefused(): void {
    const first = this.#settings.probe.initialMilliseconds;
    const delay = computeBackoff(this.#trials, {
      ...this.#settings.probe,
      random: this.#random,
    });
    this.#state = EndpointState.Down;
    this.#failures = 0;
    this.#trials++;
    this.#tryAt = this.#clock.now() + Math.max(first / 2, delay);
  }

  /**
   * Takes in silence, which a slow endpoint shows too: only several in a row
   * without a sign of life count. Returns whether the endpoint is now down.
   */
  recordSilence(): boolean {
    if (this.state === EndpointState.HalfOpen) {
      this.recordRefused();
      return true;
    }
    const sinceAlive = this.#clock.now() - this.#aliveAt;
    if (sinceAlive < this.#settings.aliveMilliseconds) {
      return false;
    }
    this.#failures++;
    if (this.#failures < this.#settings.failuresUntilDown) {
      return false;
    }
    this.recordRefused();
    return true;
  }
}

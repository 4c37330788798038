/** Tracks whether an endpoint is up, and when to probe one that is down. */

import {
  type Clock,
  computeBackoff,
  type RandomSource,
} from "@rattanvane/base";
import type { EndpointLimitSettings } from "./settings.ts";

/** The state of an endpoint, as of a circuit breaker. */
export enum EndpointState {
  Up = "up",
  /** No requests are sent until the next probe. */
  Down = "down",
  /** One request at a time may be sent as a probe. */
  HalfOpen = "halfOpen",
}

/** Distinguishes an endpoint that is down from one that is slow. */
export class EndpointHealth {
  readonly #settings: EndpointLimitSettings;
  readonly #clock: Clock;
  readonly #random: RandomSource;
  #state = EndpointState.Up;
  #failures = 0;
  #backoffAttempts = 0;
  #nextProbeAt = 0;
  #lastAliveAt = -Infinity;

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
      this.#state === EndpointState.Down &&
      this.#clock.now() >= this.#nextProbeAt
    ) {
      this.#state = EndpointState.HalfOpen;
    }
    return this.#state;
  }

  /** Records that the endpoint has sent a part of an answer, or its end. */
  recordAlive(): void {
    this.#lastAliveAt = this.#clock.now();
    this.#failures = 0;
  }

  /** Records a complete answer, which ends any probing. */
  recordSuccess(): void {
    this.recordAlive();
    this.#state = EndpointState.Up;
    this.#backoffAttempts = 0;
  }

  /** Records a load report: it responds, so it may be probed at once. */
  recordReport(): void {
    this.recordAlive();
    if (this.#state === EndpointState.Down) {
      this.#state = EndpointState.HalfOpen;
    }
  }

  /** Records a refused connection, which proves that the endpoint is down. */
  recordRefused(): void {
    const initialDelay = this.#settings.probe.initialMilliseconds;
    const delay = computeBackoff(this.#backoffAttempts, {
      ...this.#settings.probe,
      random: this.#random,
    });
    this.#state = EndpointState.Down;
    this.#failures = 0;
    this.#backoffAttempts++;
    this.#nextProbeAt = this.#clock.now() + Math.max(initialDelay / 2, delay);
  }

  /**
   * Records a missing response, which a slow endpoint may cause too: only
   * several in a row without any response in between mark it as down.
   * Returns whether the endpoint is now down.
   */
  recordFailure(): boolean {
    if (this.state === EndpointState.HalfOpen) {
      this.recordRefused();
      return true;
    }
    const sinceAlive = this.#clock.now() - this.#lastAliveAt;
    if (sinceAlive < this.#settings.aliveWindowMilliseconds) {
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

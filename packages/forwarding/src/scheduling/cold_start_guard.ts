/** Limits the requests that this VM sends to an endpoint while it is cold. */

import type { Clock } from "@rattanvane/base";
import { SlidingLog } from "./sliding_window.ts";

/** Slightly longer than the one second over which arrivals are limited. */
const ARRIVAL_WINDOW_MILLISECONDS = 1_100;
/** Covers the delay between a start and its detection by this VM. */
const START_DETECTION_MARGIN_MILLISECONDS = 400;

/** Two connect failures within this time are not attributed to packet loss. */
const CONNECT_FAILURE_WINDOW_MILLISECONDS = 2_000;

/** The limit on requests to an endpoint while it is cold. */
export interface ColdBound {
  /** How long the endpoint remains cold after a start. */
  coldMilliseconds: number;
  /** Requests in any second from all VMs together; infinite for no limit. */
  arrivalsPerSecond: number;
}

/**
 * Tracks whether one endpoint is down or cold, and limits the requests sent to
 * it meanwhile. An endpoint that was down counts as cold for the full warm-up
 * time after its first response, because it cannot have started later than that
 * response. While it is down it may start at any moment, so the limit applies
 * then as well.
 */
export class ColdStartGuard {
  readonly #clock: Clock;
  readonly #arrivals: SlidingLog;
  #isDown = false;
  #downAt = -Infinity;
  #lastConnectFailureAt = -Infinity;
  #lastResponseAt = -Infinity;
  #coldUntil = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#arrivals = new SlidingLog(clock, ARRIVAL_WINDOW_MILLISECONDS);
  }

  /** Whether the endpoint has not responded since it was detected as down. */
  get isDown(): boolean {
    return this.#isDown;
  }

  /** Whether the endpoint may be cold; a down endpoint counts as cold. */
  get isCold(): boolean {
    return this.#isDown || this.#clock.now() < this.#coldUntil;
  }

  /**
   * The time since the endpoint was detected as down, in milliseconds;
   * undefined if it is not down.
   */
  get downAgeMilliseconds(): number | undefined {
    return this.#isDown ? this.#clock.now() - this.#downAt : undefined;
  }

  /** Treats the endpoint as cold for a time after a start or registration. */
  markCold(milliseconds: number): void {
    const until = this.#clock.now() + milliseconds +
      START_DETECTION_MARGIN_MILLISECONDS;
    this.#coldUntil = Math.max(this.#coldUntil, until);
  }

  /** Records that a new process has just started at the endpoint. */
  recordStart(coldMilliseconds: number): void {
    this.#isDown = false;
    this.markCold(coldMilliseconds);
  }

  /**
   * Records a failed connection attempt. Packet loss can cause one too, so the
   * endpoint is marked as down only if the connection was refused, or on a
   * second failure without a response in between.
   */
  recordConnectFailure(isRefused: boolean): void {
    const now = this.#clock.now();
    const isRepeated =
      now - this.#lastConnectFailureAt <= CONNECT_FAILURE_WINDOW_MILLISECONDS &&
      this.#lastResponseAt < this.#lastConnectFailureAt;
    this.#lastConnectFailureAt = now;
    if (isRefused || isRepeated) {
      this.markDown();
    }
  }

  /**
   * Marks the endpoint as down if a peer detected that, unless this VM received
   * a response after the peer's detection.
   */
  recordPeerDownReport(ageMilliseconds: number): void {
    if (this.#lastResponseAt < this.#clock.now() - ageMilliseconds) {
      this.markDown(ageMilliseconds);
    }
  }

  /** Records that a response has begun. */
  recordResponseStart(): void {
    this.#lastResponseAt = this.#clock.now();
  }

  /** Marks the endpoint as down, detected this many milliseconds ago. */
  markDown(ageMilliseconds = 0): void {
    const downAt = this.#clock.now() - ageMilliseconds;
    this.#isDown = true;
    this.#downAt = Math.max(this.#downAt, downAt);
  }

  /**
   * Records a response to an attempt sent at the given time. Only an attempt
   * sent after the endpoint was detected as down shows that it is up again.
   */
  recordAnswer(sentAt: number, bound: ColdBound): void {
    this.recordResponseStart();
    if (this.#isDown && sentAt > this.#downAt) {
      this.#isDown = false;
      this.markCold(bound.coldMilliseconds);
    }
  }

  /** Whether this VM may send one more request under its part of the limit. */
  hasCapacity(bound: ColdBound, vms: number): boolean {
    if (!this.isCold || !Number.isFinite(bound.arrivalsPerSecond)) {
      return true;
    }
    const maxArrivals = Math.floor(
      bound.arrivalsPerSecond / Math.max(1, vms),
    );
    return this.#arrivals.count() < maxArrivals;
  }

  /** Records a request that is sent now. */
  recordArrival(): void {
    this.#arrivals.add();
  }
}

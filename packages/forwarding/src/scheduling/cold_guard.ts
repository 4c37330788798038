/** Knows when an endpoint may be cold, and keeps to this VM's part then. */

import type { Clock } from "@rattanvane/base";
import { SlidingLog } from "./sliding_window.ts";

/** A little over the second in which arrivals are counted. */
const WINDOW_MILLISECONDS = 1_100;
/** Covers the time between a start and the first news of it. */
const MARGIN_MILLISECONDS = 400;

/** Two failed connections within this time are no lost packets. */
const SECOND_FAILURE_MILLISECONDS = 2_000;

/** What an endpoint may be sent while it is cold. */
export interface ColdBound {
  /** How long it is cold after a start. */
  coldMilliseconds: number;
  /** Arrivals in any second from all VMs; infinite for no bound. */
  arrivalsPerSecond: number;
}

/**
 * An endpoint that was down is taken for cold from its first answer on, for
 * the time that a start makes it cold: it cannot have started later. While it
 * is down it may start at any moment, so the bound holds then too.
 */
export class ColdGuard {
  readonly #clock: Clock;
  readonly #arrivals: SlidingLog;
  #isDown = false;
  #downAt = -Infinity;
  #unreachableAt = -Infinity;
  #answeredAt = -Infinity;
  #coldUntil = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#arrivals = new SlidingLog(clock, WINDOW_MILLISECONDS);
  }

  /** Whether the endpoint was not reached since it was found to be down. */
  get isDown(): boolean {
    return this.#isDown;
  }

  get isCold(): boolean {
    return this.#isDown || this.#clock.now() < this.#coldUntil;
  }

  /** How long ago it was found to be down; undefined once it has answered. */
  get downAgeMilliseconds(): number | undefined {
    return this.#isDown ? this.#clock.now() - this.#downAt : undefined;
  }

  /** Notes a start, or what the endpoint says of itself. */
  markCold(milliseconds: number): void {
    const until = this.#clock.now() + milliseconds + MARGIN_MILLISECONDS;
    this.#coldUntil = Math.max(this.#coldUntil, until);
  }

  /** Notes that another process has just started there. */
  markStart(coldMilliseconds: number): void {
    this.#isDown = false;
    this.markCold(coldMilliseconds);
  }

  /**
   * Notes that no connection could be made. A lost packet does that too, so
   * only a refusal, or a second failure with no answer between, counts.
   */
  noteUnreachable(isRefused: boolean): void {
    const now = this.#clock.now();
    const isSecond = now - this.#unreachableAt <= SECOND_FAILURE_MILLISECONDS &&
      this.#answeredAt < this.#unreachableAt;
    this.#unreachableAt = now;
    if (isRefused || isSecond) {
      this.markDown();
    }
  }

  /** Takes in that a peer found it down, unless it has answered since. */
  noteDownAtPeer(ageMilliseconds: number): void {
    if (this.#answeredAt < this.#clock.now() - ageMilliseconds) {
      this.markDown(ageMilliseconds);
    }
  }

  /** Notes that an answer has begun. */
  noteAnswer(): void {
    this.#answeredAt = this.#clock.now();
  }

  /** Notes that the endpoint is down. */
  markDown(ageMilliseconds = 0): void {
    const downAt = this.#clock.now() - ageMilliseconds;
    this.#isDown = true;
    this.#downAt = Math.max(this.#downAt, downAt);
  }

  /** Notes an answer to an attempt that was sent at a time. */
  markAnswer(sentAt: number, bound: ColdBound): void {
    this.noteAnswer();
    if (this.#isDown && sentAt > this.#downAt) {
      this.#isDown = false;
      this.markCold(bound.coldMilliseconds);
    }
  }

  /** Whether one more request may be sent now, of a part of the bound. */
  hasRoom(bound: ColdBound, parts: number): boolean {
    if (!this.isCold || !Number.isFinite(bound.arrivalsPerSecond)) {
      return true;
    }
    const most = Math.floor(bound.arrivalsPerSecond / Math.max(1, parts));
    return this.#arrivals.count() < most;
  }

  /** Notes a request that is sent now. */
  countArrival(): void {
    this.#arrivals.add();
  }
}

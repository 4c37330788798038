/** How fast an endpoint works at the moment, as it reports itself. */

import type { Clock } from "@rattanvane/base";
import type { EndpointReport } from "@rattanvane/protocol";

/** Endpoints that report less or more than this are not believed. */
const MIN_SLOWDOWN = 0.05;
const MAX_SLOWDOWN = 100;
const SLOW = 2;
/** The weight of a reported speed falls by a factor of e in this time. */
const SPEED_DECAY_MILLISECONDS = 500;
/** The same for the number of requests, which changes faster. */
const RUNNING_DECAY_MILLISECONDS = 300;
/** Peers are sent reports that are no older. */
const RECENT_MILLISECONDS = 1_000;
/** Send times that are kept; an endpoint has fewer requests at a time. */
const SEND_TIMES_CAPACITY = 256;

interface Report {
  running: number;
  slowdown: number;
  /** Monotonic time in milliseconds. */
  receivedAt: number;
}

/**
 * Keeps the newest report of one endpoint. Without one, the endpoint counts as of
 * the usual speed.
 */
export class EndpointSpeed {
  readonly #clock: Clock;
  #newest: Report | undefined;
  /** The newest report that was not received from a peer. */
  #own: Report | undefined;
  /** When this VM sent requests, as far as no report has counted them. */
  #sendTimes: number[] = [];

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether the endpoint has reported its speed. */
  get isReported(): boolean {
    return this.#newest !== undefined;
  }

  /**
   * How long work is expected to take, as a multiple of the usual time. Approaches
   * 1 as the report ages.
   */
  get slowdown(): number {
    const newest = this.#newest;
    return newest === undefined
      ? 1
      : 1 + (newest.slowdown - 1) * this.certainty;
  }

  /** Whether the newest report is recent enough to be sent to peers. */
  get isRecent(): boolean {
    return this.#newest !== undefined &&
      this.#computeAge(this.#newest) <= RECENT_MILLISECONDS;
  }

  /** Whether work is expected to take twice the usual time or longer. */
  get isSlow(): boolean {
    return this.slowdown >= SLOW;
  }

  /** How much the newest report still says: 1 at once, 0 without one. */
  get certainty(): number {
    return this.#newest === undefined
      ? 0
      : Math.exp(-this.#computeAge(this.#newest) / SPEED_DECAY_MILLISECONDS);
  }

  /**
   * Computes an estimate of the requests at the endpoint from those that it reported and those
   * that this VM has sent since.
   *
   * @param known what the VMs have told each other
   */
  computeRunning(known: number): number {
    const newest = this.#newest;
    if (newest === undefined) {
      return known;
    }
    const weight = Math.exp(
      -this.#computeAge(newest) / RUNNING_DECAY_MILLISECONDS,
    );
    const reported = newest.running + this.#sendTimes.length;
    return Math.round(weight * reported + (1 - weight) * known);
  }

  /** Records a report that this VM received itself; values in doubt are ignored. */
  record(report: EndpointReport): void {
    const recorded = this.#update(report);
    if (recorded !== undefined) {
      this.#own = recorded;
    }
  }

  /** Records a report that a peer has received. */
  merge(report: EndpointReport): void {
    this.#update(report);
  }

  /** Records that this VM sends a request now. */
  recordSend(): void {
    if (this.#newest !== undefined) {
      this.#sendTimes.push(this.#clock.now());
      if (this.#sendTimes.length > SEND_TIMES_CAPACITY) {
        this.#sendTimes.shift();
      }
    }
  }

  /** Builds the report for peers; undefined if there is no recent one. */
  buildReport(): EndpointReport | undefined {
    if (this.#own === undefined) {
      return undefined;
    }
    const { running, slowdown } = this.#own;
    const ageMilliseconds = this.#computeAge(this.#own);
    return ageMilliseconds > RECENT_MILLISECONDS
      ? undefined
      : { running, slowdown, ageMilliseconds };
  }

  /** Forgets the reports of an endpoint's previous process. */
  clear(): void {
    this.#newest = undefined;
    this.#own = undefined;
    this.#sendTimes = [];
  }

  #update({ running, slowdown, ageMilliseconds }: EndpointReport) {
    const receivedAt = this.#clock.now() - ageMilliseconds;
    const isUsable = slowdown >= MIN_SLOWDOWN && slowdown <= MAX_SLOWDOWN &&
      receivedAt >= (this.#newest?.receivedAt ?? -Infinity);
    if (!isUsable) {
      return undefined;
    }
    this.#newest = { running, slowdown, receivedAt };
    this.#sendTimes = this.#sendTimes.filter((time) => time > receivedAt);
    return this.#newest;
  }

  #computeAge({ receivedAt }: Report): number {
    return this.#clock.now() - receivedAt;
  }
}

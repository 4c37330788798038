/** A simulated back end that crashes when it is overloaded. */

import { AttemptOutcome } from "@rattanvane/protocol";
import type { LoadReport } from "@rattanvane/platform";

/** The behaviour of a fake endpoint; times in milliseconds. */
export interface FakeEndpointOptions {
  name: string;
  /** How many requests it can run concurrently when warm. */
  slots: number;
  /** How many it can run concurrently right after a start. */
  coldSlots: number;
  /** The time in which its capacity doubles while it warms up. */
  warmUpMilliseconds: number;
  /** The age of its load reports. */
  reportLagMilliseconds: number;
  /** How long it is down after a crash. */
  downMilliseconds: number;
}

/** The fingerprint of a request that crashes the endpoint that runs it. */
export const POISON = "poison";

/** How long such a request runs before the crash. */
const POISON_RUN_MILLISECONDS = 50;

/** A request that runs at the endpoint. */
export interface FakeJob {
  attempt: string;
  fingerprint: string;
  organisation: string;
  /** Its total cost; a unit takes a millisecond. */
  cost: number;
  /** The units that are processed so far. */
  done: number;
  /** Called when the request has ended. */
  end: (outcome: AttemptOutcome) => void;
}

/** Simulates an endpoint that warms up, crashes and restarts. */
export class FakeEndpoint {
  readonly options: FakeEndpointOptions;
  readonly jobs = new Map<string, FakeJob>();
  crashes = 0;
  /** The largest number of jobs that ran at the same time. */
  peakRunning = 0;
  #bootNumber = 1;
  #startedAt: number;
  #downUntil = -Infinity;
  #now = 0;
  #history: { at: number; running: number; boot: number; start: number }[] = [];

  constructor(options: FakeEndpointOptions, startedAt: number) {
    this.options = options;
    this.#startedAt = startedAt;
  }

  get bootId(): string {
    return `${this.options.name}#${this.#bootNumber}`;
  }

  get isDown(): boolean {
    return this.#now < this.#downUntil;
  }

  /** How many requests it can run concurrently at the moment. */
  get capacity(): number {
    if (this.isDown) {
      return 0;
    }
    const uptime = this.#now - this.#startedAt;
    const doublings = Math.floor(uptime / this.options.warmUpMilliseconds);
    const { slots, coldSlots } = this.options;
    return Math.min(slots, coldSlots * 2 ** doublings);
  }

  /** Starts a job; crashes when that exceeds the capacity. */
  start(job: FakeJob): void {
    if (this.isDown) {
      job.end(AttemptOutcome.NotSent);
      return;
    }
    this.jobs.set(job.attempt, job);
    this.peakRunning = Math.max(this.peakRunning, this.jobs.size);
    if (this.jobs.size > this.capacity) {
      this.crash();
    }
  }

  /** Ends all jobs as lost and restarts cold. */
  crash(): void {
    this.crashes++;
    this.#bootNumber++;
    this.#downUntil = this.#now + this.options.downMilliseconds;
    this.#startedAt = this.#downUntil;
    const lost = [...this.jobs.values()];
    this.jobs.clear();
    for (const job of lost) {
      job.end(AttemptOutcome.EndpointLost);
    }
  }

  /** Processes jobs for one step; returns the units served by organisation. */
  runStep(now: number, milliseconds: number): Map<string, number> {
    this.#now = now;
    const served = new Map<string, number>();
    for (const job of [...this.jobs.values()]) {
      const units = Math.min(milliseconds, job.cost - job.done);
      job.done += units;
      const { organisation } = job;
      served.set(organisation, (served.get(organisation) ?? 0) + units);
      this.#endJob(job);
    }
    const running = this.jobs.size;
    const boot = this.#bootNumber;
    this.#history.push({ at: now, running, boot, start: this.#startedAt });
    return served;
  }

  /**
   * Returns a load report that is as old as the lag; undefined while the
   * endpoint is down or was not up at that time.
   */
  readLoad(): LoadReport | undefined {
    if (this.isDown) {
      return undefined;
    }
    const sampleAt = this.#now - this.options.reportLagMilliseconds;
    this.#history = this.#history.filter(({ at }) => at >= sampleAt);
    const sample = this.#history[0];
    if (sample === undefined || sample.start > sample.at) {
      return undefined;
    }
    return {
      bootId: `${this.options.name}#${sample.boot}`,
      uptimeMilliseconds: sample.at - sample.start,
      running: sample.running,
      waiting: 0,
      slots: this.options.slots,
      ageMilliseconds: this.#now - sample.at,
    };
  }

  #endJob(job: FakeJob): void {
    if (!this.jobs.has(job.attempt)) {
      return;
    }
    if (job.fingerprint === POISON && job.done >= POISON_RUN_MILLISECONDS) {
      this.crash();
      return;
    }
    if (job.done >= job.cost) {
      this.jobs.delete(job.attempt);
      job.end(AttemptOutcome.Completed);
    }
  }
}

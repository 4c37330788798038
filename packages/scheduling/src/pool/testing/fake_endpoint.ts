/** A back end that falls over when it gets more than it bears. */

import { AttemptOutcome } from "@rattanvane/protocol";
import type { LoadReport } from "@rattanvane/platform";

/** How a fake endpoint behaves; times in milliseconds. */
export interface FakeEndpointOptions {
  name: string;
  /** How many requests it bears when warm. */
  slots: number;
  /** How many it bears right after a start. */
  coldSlots: number;
  /** The time in which what it bears doubles. */
  warmUpMilliseconds: number;
  /** How old its load reports are. */
  reportLagMilliseconds: number;
  /** How long it is down after a crash. */
  downMilliseconds: number;
}

/** The fingerprint of a request that crashes the endpoint that runs it. */
export const POISON = "poison";

/** How long a poisonous request runs before the crash. */
const POISON_MILLISECONDS = 50;

/** One request at the endpoint. */
export interface FakeJob {
  attempt: string;
  fingerprint: string;
  organisation: string;
  /** Its whole cost; a unit takes a millisecond. */
  cost: number;
  done: number;
  end: (outcome: AttemptOutcome) => void;
}

/** Runs jobs, warms up, crashes and restarts. */
export class FakeEndpoint {
  readonly options: FakeEndpointOptions;
  readonly jobs = new Map<string, FakeJob>();
  crashes = 0;
  mostRunning = 0;
  #boot = 1;
  #startedAt: number;
  #downUntil = -Infinity;
  #now = 0;
  #history: { at: number; running: number; boot: number; start: number }[] = [];

  constructor(options: FakeEndpointOptions, startedAt: number) {
    this.options = options;
    this.#startedAt = startedAt;
  }

  get bootId(): string {
    return `${this.options.name}#${this.#boot}`;
  }

  get isDown(): boolean {
    return this.#now < this.#downUntil;
  }

  /** How many requests it bears now. */
  get bears(): number {
    if (this.isDown) {
      return 0;
    }
    const uptime = this.#now - this.#startedAt;
    const doublings = Math.floor(uptime / this.options.warmUpMilliseconds);
    const { slots, coldSlots } = this.options;
    return Math.min(slots, coldSlots * 2 ** doublings);
  }

  /** Takes a job; falls over when that is one too many. */
  start(job: FakeJob): void {
    if (this.isDown) {
      job.end(AttemptOutcome.NotSent);
      return;
    }
    this.jobs.set(job.attempt, job);
    this.mostRunning = Math.max(this.mostRunning, this.jobs.size);
    if (this.jobs.size > this.bears) {
      this.crash();
    }
  }

  /** Loses all jobs and restarts cold. */
  crash(): void {
    this.crashes++;
    this.#boot++;
    this.#downUntil = this.#now + this.options.downMilliseconds;
    this.#startedAt = this.#downUntil;
    const lost = [...this.jobs.values()];
    this.jobs.clear();
    for (const job of lost) {
      job.end(AttemptOutcome.EndpointLost);
    }
  }

  /** Works for a step; returns the units given by organisation. */
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
    const boot = this.#boot;
    this.#history.push({ at: now, running, boot, start: this.#startedAt });
    return served;
  }

  /** The lagging load report; undefined while it is down. */
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
    if (job.fingerprint === POISON && job.done >= POISON_MILLISECONDS) {
      this.crash();
      return;
    }
    if (job.done >= job.cost) {
      this.jobs.delete(job.attempt);
      job.end(AttemptOutcome.Completed);
    }
  }
}

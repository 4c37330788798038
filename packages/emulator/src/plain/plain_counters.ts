/** What the plain stand-in has counted since its process started. */

/** Counts over all boots; crashes do not reset them. */
export class PlainCounters {
  started = 0;
  completed = 0;
  /** Calls over the slots, answered with 503 and not run. */
  refused = 0;
  crashes = 0;
  mostRunning = 0;
  readonly #runs = new Map<string, number>();

  /** Counts a run of a job; returns how often it has run by now. */
  addRun(job: string): number {
    const runs = this.countRuns(job) + 1;
    this.#runs.set(job, runs);
    return runs;
  }

  /** How often a job has run. */
  countRuns(job: string): number {
    return this.#runs.get(job) ?? 0;
  }

  /** Runs by job. */
  listRuns(): Record<string, number> {
    return Object.fromEntries(this.#runs);
  }
}

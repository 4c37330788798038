/** The report of an endpoint until the scheduler is told of it. */

import type { Clock } from "@rattanvane/base";
import type { EndpointReport } from "@rattanvane/protocol";
import type { ReportedLoad } from "../model/dialect.ts";

/** Holds the last report of one attempt's endpoint. */
export class PendingReport {
  readonly #clock: Clock;
  #report: EndpointReport | undefined;
  #receivedAt = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Ignores a load without a speed, on which no decision depends. */
  record({ running, waiting, slowdown }: ReportedLoad): void {
    if (slowdown !== undefined) {
      this.#receivedAt = this.#clock.now();
      this.#report = {
        running: running + waiting,
        slowdown,
        ageMilliseconds: 0,
      };
    }
  }

  /** Returns the report with its age, once; undefined if there is none. */
  take(): EndpointReport | undefined {
    const report = this.#report;
    this.#report = undefined;
    const ageMilliseconds = this.#clock.now() - this.#receivedAt;
    return report === undefined ? undefined : { ...report, ageMilliseconds };
  }
}

/** Logs what a scheduler knows of the organisations' shares. */

import type { Clock, Logger } from "@rattanvane/base";
import type { DescribedUse, ShareMeter } from "./share_meter.ts";

const REPORT_INTERVAL_MILLISECONDS = 1_000;
/** Bounds the length of a line; those that asked for most are listed. */
const MAX_LISTED_ORGANISATIONS = 6;

/** Dependencies of a {@link ShareReporter}. */
export interface ShareReporterOptions {
  shares: ShareMeter;
  clock: Clock;
  logger: Logger;
}

/** Logs the level and the largest uses while demand exceeds what is granted. */
export class ShareReporter {
  readonly #options: ShareReporterOptions;

  constructor(options: ShareReporterOptions) {
    this.#options = options;
  }

  /** Logs each second until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      await clock.sleep(REPORT_INTERVAL_MILLISECONDS, signal);
      this.#report();
    }
  }

  #report(): void {
    const { shares, logger } = this.#options;
    const state = shares.describe();
    if (!state.isContended) {
      return;
    }
    const { uses, level, ...sums } = state;
    logger.info("organisations compete for engines", {
      ...sums,
      level: Number.isFinite(level) ? Math.round(level) : "unlimited",
      organisations: uses.slice(0, MAX_LISTED_ORGANISATIONS)
        .map(formatUse).join(", "),
    });
  }
}

function formatUse(use: DescribedUse): string {
  const { organisation, usage, asked, granted } = use;
  const local = `${use.localGranted}/${use.localAsked}`;
  return `${organisation} ${usage} ${granted}/${asked} (${local})`;
}

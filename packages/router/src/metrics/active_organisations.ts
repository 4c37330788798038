/** Limits the cardinality of metrics that have an organisation label. */

import type { Clock } from "@rattanvane/base";

/** Limits on the organisations that have time series. */
export interface ActiveOrganisationsOptions {
  clock: Clock;
  /** How long the series of an idle organisation are kept. */
  idleTimeoutMilliseconds: number;
  /** Above this number, the longest idle organisations are evicted. */
  limit: number;
  /** Called to remove the series of an evicted organisation. */
  remove: (organisation: string) => void;
}

/** Tracks when organisations were last active, the longest idle first. */
export class ActiveOrganisations {
  readonly #options: ActiveOrganisationsOptions;
  readonly #lastActiveAt = new Map<string, number>();

  constructor(options: ActiveOrganisationsOptions) {
    this.#options = options;
  }

  /** Records activity of an organisation. */
  record(organisation: string): void {
    this.#lastActiveAt.delete(organisation);
    this.#lastActiveAt.set(organisation, this.#options.clock.now());
    this.prune();
  }

  /** Evicts organisations that are idle or exceed the maximum number. */
  prune(): void {
    const { clock, idleTimeoutMilliseconds, limit, remove } = this.#options;
    const oldest = clock.now() - idleTimeoutMilliseconds;
    for (const [organisation, activeAt] of this.#lastActiveAt) {
      if (activeAt > oldest && this.#lastActiveAt.size <= limit) {
        return;
      }
      this.#lastActiveAt.delete(organisation);
      remove(organisation);
    }
  }
}

/** Bounds the series that carry an organisation as a label. */

import type { Clock } from "@rattanvane/base";

/** Bounds of the organisations that have series. */
export interface ActiveOrganisationsOptions {
  clock: Clock;
  /** How long an idle organisation keeps its series. */
  idleMilliseconds: number;
  /** The most organisations with series; the longest idle go first. */
  limit: number;
  /** Removes the series of an organisation. */
  remove: (organisation: string) => void;
}

/** Remembers which organisations were active, the longest idle first. */
export class ActiveOrganisations {
  readonly #options: ActiveOrganisationsOptions;
  readonly #activeAt = new Map<string, number>();

  constructor(options: ActiveOrganisationsOptions) {
    this.#options = options;
  }

  /** Notes that an organisation is active now. */
  record(organisation: string): void {
    this.#activeAt.delete(organisation);
    this.#activeAt.set(organisation, this.#options.clock.now());
    this.prune();
  }

  /** Removes the series of those that are idle or too many. */
  prune(): void {
    const { clock, idleMilliseconds, limit, remove } = this.#options;
    const oldest = clock.now() - idleMilliseconds;
    for (const [organisation, activeAt] of this.#activeAt) {
      if (activeAt > oldest && this.#activeAt.size <= limit) {
        return;
      }
      this.#activeAt.delete(organisation);
      remove(organisation);
    }
  }
}

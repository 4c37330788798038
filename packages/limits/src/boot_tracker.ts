/** Detects restarts of an endpoint. */

/** Number of earlier boot ids by which stale observations are recognised. */
const MAX_FORMER_BOOT_IDS = 8;

/** Maximum difference between two estimates of the same start time. */
const UPTIME_SLACK_MILLISECONDS = 2000;

/** What an observation shows about the endpoint's boot. */
export enum BootVerdict {
  Same = "same",
  Restarted = "restarted",
  /** A stale observation of an earlier boot. */
  Former = "former",
}

/** Tracks an endpoint's boot id and start time. */
export class BootTracker {
  #bootId = "";
  #startedAt: number | undefined;
  readonly #formerBootIds: string[] = [];

  /** The newest boot id; empty when unknown. */
  get bootId(): string {
    return this.#bootId;
  }

  /** Updates the boot id; an empty one carries no information. */
  updateBootId(bootId: string): BootVerdict {
    if (bootId === "" || bootId === this.#bootId) {
      return BootVerdict.Same;
    }
    if (this.#formerBootIds.includes(bootId)) {
      return BootVerdict.Former;
    }
    const isFirst = this.#bootId === "";
    if (!isFirst) {
      this.#formerBootIds.push(this.#bootId);
      this.#formerBootIds.splice(
        0,
        this.#formerBootIds.length - MAX_FORMER_BOOT_IDS,
      );
    }
    this.#bootId = bootId;
    this.#startedAt = undefined;
    return isFirst ? BootVerdict.Same : BootVerdict.Restarted;
  }

  /** Updates the start time that the endpoint reports, in clock time. */
  updateStartTime(startedAt: number): BootVerdict {
    const previous = this.#startedAt;
    this.#startedAt = Math.min(startedAt, previous ?? startedAt);
    if (previous === undefined) {
      return BootVerdict.Same;
    }
    if (startedAt <= previous + UPTIME_SLACK_MILLISECONDS) {
      return BootVerdict.Same;
    }
    this.#startedAt = startedAt;
    return BootVerdict.Restarted;
  }
}

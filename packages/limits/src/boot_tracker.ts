/** Notices that an endpoint has started anew. */

const REMEMBERED_BOOTS = 8;

/** How far two estimates of one start may lie apart. */
const UPTIME_SLACK_MILLISECONDS = 2000;

/** What an observation says of the endpoint's boot. */
export enum BootVerdict {
  Same = "same",
  Restarted = "restarted",
  /** Late news of a boot that is over. */
  Former = "former",
}

/** Follows an endpoint's boot id and uptime. */
export class BootTracker {
  #bootId = "";
  #startedAt: number | undefined;
  readonly #former: string[] = [];

  /** The newest boot id; empty when unknown. */
  get bootId(): string {
    return this.#bootId;
  }

  /** Takes in a boot id; an empty one says nothing. */
  updateBootId(bootId: string): BootVerdict {
    if (bootId === "" || bootId === this.#bootId) {
      return BootVerdict.Same;
    }
    if (this.#former.includes(bootId)) {
      return BootVerdict.Former;
    }
    const isFirst = this.#bootId === "";
    if (!isFirst) {
      this.#former.push(this.#bootId);
      this.#former.splice(0, this.#former.length - REMEMBERED_BOOTS);
    }
    this.#bootId = bootId;
    this.#startedAt = undefined;
    return isFirst ? BootVerdict.Same : BootVerdict.Restarted;
  }

  /** Takes in when the endpoint says that it started, in clock time. */
  updateStart(startedAt: number): BootVerdict {
    const former = this.#startedAt;
    this.#startedAt = Math.min(startedAt, former ?? startedAt);
    if (former === undefined) {
      return BootVerdict.Same;
    }
    if (startedAt <= former + UPTIME_SLACK_MILLISECONDS) {
      return BootVerdict.Same;
    }
    this.#startedAt = startedAt;
    return BootVerdict.Restarted;
  }
}

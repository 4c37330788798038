/** What this VM says of itself. */

import { type VmContact, VmState, type VmUpdate } from "@rattanvane/protocol";

/** The VM's own state and incarnation. */
export class SelfState {
  readonly contact: VmContact;
  #incarnation: number;
  #leaving = false;

  /**
   * The first incarnation is the wall time, so that a VM which restarts with
   * empty memory counts on from higher than its last life ever reached.
   */
  constructor(contact: VmContact, wallTimeMilliseconds: number) {
    this.contact = contact;
    this.#incarnation = Math.floor(wallTimeMilliseconds);
  }

  get incarnation(): number {
    return this.#incarnation;
  }

  get leaving(): boolean {
    return this.#leaving;
  }

  /** Starts to say that the VM leaves. */
  leave(): void {
    this.#leaving = true;
    this.#incarnation++;
  }

  /** Counts up when others believe something untrue; true when it did. */
  refute(update: VmUpdate): boolean {
    if (update.incarnation < this.#incarnation) {
      return false;
    }
    const own = this.toUpdate();
    if (
      update.incarnation === own.incarnation && update.state === own.state
    ) {
      return false;
    }
    this.#incarnation = update.incarnation + 1;
    return true;
  }

  /** The news of this VM. */
  toUpdate(): VmUpdate {
    return {
      contact: this.contact,
      state: this.#leaving ? VmState.Leaving : VmState.Live,
      incarnation: this.#incarnation,
    };
  }
}

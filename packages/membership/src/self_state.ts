/** The state that this VM announces of itself. */

import { type VmContact, VmState, type VmUpdate } from "@rattanvane/protocol";

/** Holds this VM's own state and incarnation. */
export class SelfState {
  readonly contact: VmContact;
  #incarnation: number;
  #leaving = false;

  /**
   * Uses the wall time as the first incarnation, so that a VM which restarts
   * without its memory begins above every incarnation of its previous run.
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

  /** Changes the announced state to leaving, under a new incarnation. */
  startLeaving(): void {
    this.#leaving = true;
    this.#incarnation++;
  }

  /**
   * Raises the incarnation above that of an update that contradicts this VM's
   * own state. Returns whether the update had to be refuted.
   */
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

  /** Returns this VM's own state as an update for gossip. */
  toUpdate(): VmUpdate {
    return {
      contact: this.contact,
      state: this.#leaving ? VmState.Leaving : VmState.Live,
      incarnation: this.#incarnation,
    };
  }
}

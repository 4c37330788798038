/** Contract of the part that runs the schedulers of owned pools. */

import type { PoolId, Term, VmContact, VmId } from "@rattanvane/protocol";

/** Why a pool is no longer scheduled here. */
export enum LossReason {
  /** A newer term of another VM is known. */
  Superseded = "superseded",
  /** The process was paused and may have missed that others took over. */
  Paused = "paused",
  /** The pool is no longer in the configuration. */
  Removed = "removed",
  /** This VM ends, and there is no other to hand the pool to. */
  Released = "released",
}

/** How a pool was acquired. */
export interface Acquisition {
  /** False when the platform did not confirm the term. */
  leased: boolean;
  /** The VM that scheduled the pool before, as far as is known. */
  previousHolder: VmId | undefined;
}

/** How the term of a held pool changed. */
export interface TermChange {
  leased: boolean;
}

/** Hears which pools this VM schedules; calls must not throw. */
export abstract class OwnershipListener {
  /** This VM schedules the pool from now on. */
  abstract acquired(pool: PoolId, term: Term, how: Acquisition): void;

  /**
   * This VM goes on with the pool: under the same term whose lease has lapsed
   * or come back, or under a raised one.
   */
  abstract termChanged(pool: PoolId, term: Term, change: TermChange): void;

  /** This VM must not grant anything more for the pool. */
  abstract lost(pool: PoolId, reason: LossReason): void;

  /** The pool is the other VM's to take; its state should be sent there. */
  abstract handedOver(pool: PoolId, to: VmContact): void;
}

/** Interface of the component that runs the schedulers of owned pools. */

import type { PoolId, Term, VmContact, VmId } from "@rattanvane/protocol";

/** Why this VM no longer schedules a pool. */
export enum LossReason {
  /** A newer term is known, usually of another VM. */
  Superseded = "superseded",
  /** The process was paused, and another VM may have taken over meanwhile. */
  Paused = "paused",
  /** The pool is no longer in the configuration. */
  Removed = "removed",
  /** This VM shuts down, and no other VM can take the pool over. */
  Released = "released",
}

/** How a pool was acquired. */
export interface Acquisition {
  /** False when the platform has not confirmed the term. */
  leased: boolean;
  /** The VM that last scheduled the pool; undefined when not known. */
  previousHolder: VmId | undefined;
}

/** How the term of a held pool changed. */
export interface TermChange {
  /** False when the term is not confirmed or its lease has expired. */
  leased: boolean;
}

/** Receives changes of the pools that this VM schedules; must not throw. */
export abstract class OwnershipListener {
  /** Called when this VM starts to schedule a pool. */
  abstract acquired(pool: PoolId, term: Term, acquisition: Acquisition): void;

  /**
   * Called when this VM continues to schedule a pool: under the same term,
   * whose lease has expired or was regained, or under a higher term.
   */
  abstract termChanged(pool: PoolId, term: Term, change: TermChange): void;

  /** Called when this VM must not issue any more grants for a pool. */
  abstract lost(pool: PoolId, reason: LossReason): void;

  /** Called when another VM is to take over a pool; send its state there. */
  abstract handedOver(pool: PoolId, to: VmContact): void;
}

/** Told of a scheduler's decisions as they happen, for metrics. */

import type {
  PlacementReason,
  PoolId,
  RefusalReason,
} from "@rattanvane/protocol";

/** Counts what schedulers decide; must not throw. */
export abstract class PoolObserver {
  abstract recordGrant(
    pool: PoolId,
    grant: { reason: PlacementReason; waitedMilliseconds: number },
  ): void;

  abstract recordRefusal(pool: PoolId, reason: RefusalReason): void;
}

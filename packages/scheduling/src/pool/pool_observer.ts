/** An interface for collecting metrics on scheduling decisions. */

import type {
  PlacementReason,
  PoolId,
  RefusalReason,
} from "@rattanvane/protocol";

/** Records the decisions of schedulers; implementations must not throw. */
export abstract class PoolObserver {
  /** Records a granted attempt and how long its entry waited in the queue. */
  abstract recordGrant(
    pool: PoolId,
    grant: { reason: PlacementReason; waitedMilliseconds: number },
  ): void;

  /** Records a refused request. */
  abstract recordRefusal(pool: PoolId, reason: RefusalReason): void;
}

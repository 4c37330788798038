/** Settings of hedged attempts. */

/** Which requests get a second attempt while the first one is slow. */
export interface HedgingSettings {
  /** The fraction of requests that may get one, 0 to 1. */
  share: number;
  /**
   * A first attempt is slow when its answer has not begun within this quantile
   * of the times of its kind, 0 to 1.
   */
  quantile: number;
}

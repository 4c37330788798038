/** What an endpoint says of itself, as far as its limit is concerned. */

/** A load report; the platform's load reports have this shape. */
export interface ReportedLoad {
  /** Changes with each start of the endpoint; empty when unknown. */
  bootId: string;
  uptimeMilliseconds: number;
  running: number;
  waiting: number;
  /** How many requests it can run at once; 0 when it does not say. */
  slots: number;
  /** How old the figures were when they were sent. */
  ageMilliseconds: number;
}

/** The load that an endpoint reports, as far as it concerns its limit. */

/** A load report, in the shape of the platform's load reports. */
export interface ReportedLoad {
  /** Changes with each start of the endpoint; empty when unknown. */
  bootId: string;
  uptimeMilliseconds: number;
  running: number;
  waiting: number;
  /** Number of requests it can run concurrently; 0 when not reported. */
  slots: number;
  /** Age of the figures when they were sent. */
  ageMilliseconds: number;
}

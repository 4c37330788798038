/** Options, inputs and results of an endpoint's limit. */

import type { Clock, RandomSource } from "@rattanvane/base";
import type { AttemptOutcome, EndpointId, VmId } from "@rattanvane/protocol";
import type { LimitBounds } from "./adaptive_limit.ts";
import type { EndpointLimitSettings } from "./settings.ts";

/** Options for creating an endpoint's limit. */
export interface EndpointLimitOptions extends LimitBounds {
  endpoint: EndpointId;
  settings: EndpointLimitSettings;
  clock: Clock;
  random: RandomSource;
  /** VM of the scheduler that keeps the limit. */
  self: VmId;
  /** Whether a lease of the platform rules out other schedulers. */
  leased: boolean;
}

/** The end of an attempt, as far as it concerns the endpoint. */
export interface AttemptEnd {
  outcome: AttemptOutcome;
  firstByteMilliseconds: number;
  /** Empty when unknown. */
  bootId: string;
}

/** What an observation of an endpoint showed. */
export enum EndpointEvent {
  None = "nothing",
  /** The endpoint has restarted or is gone: the attempts there were lost. */
  Restarted = "restarted",
}

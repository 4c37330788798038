/** What goes into an endpoint's limit and what comes out of it. */

import type { Clock, RandomSource } from "@rattanvane/base";
import type { AttemptOutcome, EndpointId, VmId } from "@rattanvane/protocol";
import type { LimitBounds } from "./adaptive_limit.ts";
import type { EndpointLimitSettings } from "./settings.ts";

/** What an endpoint's limit is created with. */
export interface EndpointLimitOptions extends LimitBounds {
  endpoint: EndpointId;
  settings: EndpointLimitSettings;
  clock: Clock;
  random: RandomSource;
  /** The VM of the scheduler that keeps the limit. */
  self: VmId;
  /** Whether the platform says that nobody else schedules the endpoint. */
  leased: boolean;
}

/** How an attempt ended, as far as the endpoint is concerned. */
export interface AttemptEnd {
  outcome: AttemptOutcome;
  firstByteMilliseconds: number;
  /** Empty when unknown. */
  bootId: string;
}

/** What news of an endpoint showed. */
export enum EndpointNews {
  Nothing = "nothing",
  /** It has started anew, or is gone: what ran there was lost. */
  Restarted = "restarted",
}

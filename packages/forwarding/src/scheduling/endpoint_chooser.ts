/** Contract for choosing the endpoint of a request. */

import type { EndpointId } from "@rattanvane/protocol";
import type { SchedulableCall } from "../model/call.ts";
import type { EndpointState } from "./endpoint_state.ts";
import type { PrefillWork } from "./prefill_model.ts";
import type { ShareUsage } from "./share_meter.ts";

/** Why no endpoint can accept a request now. */
export enum NoCapacityReason {
  /** No endpoint accepts requests at all. */
  NoEndpoint = "noEndpoint",
  /** Every usable endpoint is at capacity. */
  Busy = "busy",
  /** The few endpoints that accept long prompts are at capacity. */
  LongBusy = "longBusy",
}

/** An endpoint for a request, with the predicted work and latency. */
export interface Choice {
  endpoint: EndpointState;
  /** The prefill work of this request at the endpoint. */
  work: PrefillWork;
  /** All prefill work at the endpoint up to the request's first event. */
  totalWork: PrefillWork;
  /** Tokens of shared prompt parts that the endpoint has not cached. */
  missingTokens: number;
  /** The predicted time to the first event, in milliseconds. */
  predictedMilliseconds: number;
  /**
   * Whether the prompt is long: its prefill alone delays other streams for
   * about the longest acceptable interval between two events.
   */
  isLong: boolean;
}

/** Ids of endpoints that a request is kept away from. */
export interface EndpointRestrictions {
  /** Those that failed the request before; used if there are no others. */
  avoid: ReadonlySet<EndpointId>;
  /** Those that must not get it. */
  excluded: ReadonlySet<EndpointId>;
}

/** A request for an endpoint, with the limits that apply to it. */
export interface ChoiceRequest extends EndpointRestrictions {
  call: SchedulableCall;
  /** The time left of the latency objective, in milliseconds. */
  remainingMilliseconds: number;
  /** Its organisation's use of its fair share; higher use lowers the limits. */
  shareUsage: ShareUsage;
  /** Scales the limits of organisations that are over their fair share. */
  spareCapacityFactor: number;
}

/** Chooses among the endpoints of a service. */
export abstract class EndpointChooser {
  /** Records a new request, which may change how endpoints are divided. */
  recordRequest(_call: SchedulableCall): void {}

  /**
   * Returns the best endpoint with capacity for a request, or the reason why
   * there is none.
   */
  abstract choose(
    request: ChoiceRequest,
    endpoints: readonly EndpointState[],
  ): Choice | NoCapacityReason;

  /** Describes for logs which limits the endpoints are at for a request. */
  abstract describeLimits(
    request: ChoiceRequest,
    endpoints: readonly EndpointState[],
  ): string;
}

/** Contract: which endpoint a request should go to. */

import type { ForwardedCall } from "../model/call.ts";
import type { EndpointState } from "./endpoint_state.ts";
import type { PrefillWork } from "./prefill_model.ts";
import type { ShareStanding } from "./share_meter.ts";

/** Why there is no endpoint for a request now. */
export enum NoRoomReason {
  /** No endpoint takes requests at all. */
  NoEndpoint = "noEndpoint",
  /** Every endpoint that could be used has enough to do. */
  Busy = "busy",
  /** The few endpoints that take long prompts have enough to do. */
  LongBusy = "longBusy",
}

/** An endpoint for a request, and what that means for it. */
export interface Choice {
  endpoint: EndpointState;
  /** What the endpoint reads for this request. */
  work: PrefillWork;
  /** What it has to read altogether until the request's first event. */
  totalWork: PrefillWork;
  /** Tokens of shared parts that are read again. */
  missingTokens: number;
  /** The time to the first event, in milliseconds. */
  predictedMilliseconds: number;
  /** Reading it alone delays others for about as long as they may pause. */
  isLong: boolean;
}

/** How urgently a request needs an endpoint. */
export interface ChoiceRequest {
  call: ForwardedCall;
  /** Endpoints that failed the request. */
  avoid: ReadonlySet<string>;
  /** How much of the objective is left, in milliseconds. */
  remainingMilliseconds: number;
  /** What its organisation has had; who has had more gets less room. */
  standing: ShareStanding;
  /** By how much the room of those over their share is multiplied. */
  spareFactor: number;
}

/** Chooses among the endpoints of a service. */
export abstract class EndpointChooser {
  /** The best endpoint with room for a request, or why there is none. */
  abstract choose(
    request: ChoiceRequest,
    endpoints: readonly EndpointState[],
  ): Choice | NoRoomReason;
}

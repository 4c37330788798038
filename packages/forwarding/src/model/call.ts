/** A caller's request while the router serves it. */

import type { OrganisationId, ServiceId, ZoneId } from "@rattanvane/protocol";
import type { ForwardingRoute } from "./route.ts";

/** One part of a prompt; several requests may have the same part. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** The size and parts of a request's prompt, as its headers state them. */
export interface Prompt {
  tokens: number;
  /** The expected number of generated tokens. */
  outputTokens: number;
  /** In prompt order; the last one belongs to this request alone. */
  parts: PromptPart[];
}

/** The fields that the router reads from the headers of a request. */
export interface CallIdentity {
  /** The request's id, which endpoints echo; empty if the caller sent none. */
  request: string;
  key: string | undefined;
  /** How long the caller waits; undefined if it set no deadline. */
  deadlineMilliseconds: number | undefined;
  prompt: Prompt | undefined;
  /** The last stream event that the caller received; empty for none. */
  lastEvent: string;
}

/** Where a call was received, for the cost of serving it in another zone. */
export interface CallOrigin {
  zone: ZoneId;
  bodyBytes: number;
}

/** What the scheduler of a service needs of a route. */
export interface SchedulableRoute
  extends Pick<ForwardingRoute, "objectiveMilliseconds" | "pauseMilliseconds"> {
  /** Unset if the VM that holds the request did not state it. */
  name?: string;
}

/** The part of a call that the scheduler of its service needs. */
export interface SchedulableCall {
  identity: Pick<CallIdentity, "request" | "prompt">;
  route: SchedulableRoute;
  service: ServiceId;
  organisation: OrganisationId | undefined;
  priority: number;
  /** Equal for requests with the same path, query, organisation and body. */
  fingerprint: string;
  /** Monotonic time at which the request arrived, in milliseconds. */
  receivedAt: number;
  /** Monotonic time by which the final response is due, in milliseconds. */
  deadlineAt: number;
  /** Unset while zones are not distinguished. */
  origin?: CallOrigin;
}

/** An admitted request with its route, organisation and deadline. */
export interface ForwardedCall extends SchedulableCall {
  identity: CallIdentity;
  route: ForwardingRoute;
  method: string;
  /** The path and query string, as the caller sent them. */
  target: string;
  /** Alternating header names and values, as the caller sent them. */
  rawHeaders: readonly string[];
  body: Uint8Array;
}

/**
 * The cost units of a request: one per prompt token and two per expected output
 * token; 0 for a request without a prompt.
 */
export function computeCost(call: SchedulableCall): number {
  const { prompt } = call.identity;
  return prompt === undefined ? 0 : prompt.tokens + 2 * prompt.outputTokens;
}

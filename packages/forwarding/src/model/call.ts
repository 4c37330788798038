/** A caller's request on its way through the router. */

import type { OrganisationId, ServiceId } from "@rattanvane/protocol";
import type { ForwardingRoute } from "./route.ts";

/** One part of a prompt; requests share parts. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** What a request says of its prompt. */
export interface Prompt {
  tokens: number;
  /** How many tokens the answer is expected to have. */
  outputTokens: number;
  /** In order; the last one is the request's own. */
  parts: PromptPart[];
}

/** What the headers of a request say of it. */
export interface CallIdentity {
  /** Names the request; endpoints echo it. Empty when the caller names none. */
  request: string;
  key: string | undefined;
  /** How long the caller waits; undefined when it does not say. */
  deadlineMilliseconds: number | undefined;
  prompt: Prompt | undefined;
  /** The last event that the caller of a stream has; empty for none. */
  lastEvent: string;
}

/** A request that was admitted. */
export interface ForwardedCall {
  identity: CallIdentity;
  route: ForwardingRoute;
  service: ServiceId;
  organisation: OrganisationId | undefined;
  priority: number;
  method: string;
  /** The path with its query, as the caller sent it. */
  target: string;
  /** Names and values in turn, as the caller sent them. */
  rawHeaders: readonly string[];
  body: Uint8Array;
  /** Equal for requests with the same path, organisation and body. */
  fingerprint: string;
  /** On the steady clock, in milliseconds. */
  receivedAt: number;
  /** When the caller must have its final answer. */
  endsAt: number;
}

/** Cost units of a request: tokens read once, tokens generated twice. */
export function computeCost(call: ForwardedCall): number {
  const { prompt } = call.identity;
  return prompt === undefined ? 0 : prompt.tokens + 2 * prompt.outputTokens;
}

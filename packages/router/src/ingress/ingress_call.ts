/** The request of a caller, as the ingress handles it internally. */

import { createHash } from "node:crypto";
import type { Organisation, Service } from "@rattanvane/configuration";
import type { HttpHeader } from "@rattanvane/platform";
import type { RequestId } from "@rattanvane/protocol";

/**
 * 132 bits; kept short because every Enqueue message contains the fingerprint.
 */
const FINGERPRINT_CHARACTERS = 22;

/** A fully read request that the organisation is permitted to send. */
export interface IngressCall {
  request: RequestId;
  organisation: Organisation;
  service: Service;
  method: string;
  /** Path at the endpoint, including the query. */
  path: string;
  headers: HttpHeader[];
  body: Uint8Array;
  /** Time on the monotonic clock, in milliseconds. */
  deadlineAt: number;
  /** The caller's estimate of the cost, in cost units; 0 when unknown. */
  hintedCost: number;
  /**
   * Identifies the request content, for the quarantine of crashing requests.
   */
  fingerprint: string;
  /** Hash of the start of the prompt; empty for plain services. */
  prefix: string;
}

/** Computes the fingerprint of the request content sent to an endpoint. */
export function computeFingerprint(
  service: string,
  options: { method: string; path: string; body: Uint8Array },
): string {
  const hash = createHash("sha256");
  hash.update(`${service}\n${options.method}\n${options.path}\n`);
  hash.update(options.body);
  return hash.digest("base64url").slice(0, FINGERPRINT_CHARACTERS);
}

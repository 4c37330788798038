/** A caller's request inside the ingress. */

import { createHash } from "node:crypto";
import type { Organisation, Service } from "@rattanvane/configuration";
import type { HttpHeader } from "@rattanvane/platform";
import type { RequestId } from "@rattanvane/protocol";

/** 132 bits; short, since each enqueue carries it. */
const FINGERPRINT_CHARACTERS = 22;

/** A request that an organisation may send, read whole. */
export interface IngressCall {
  request: RequestId;
  organisation: Organisation;
  service: Service;
  method: string;
  /** The path at the endpoint, with its query. */
  path: string;
  headers: HttpHeader[];
  body: Uint8Array;
  /** On the monotonic clock, in milliseconds. */
  deadlineAt: number;
  /** The caller's rough idea of the cost, in cost units; 0 when unknown. */
  hintedCost: number;
  /** Identifies what is run, for the quarantine. */
  fingerprint: string;
  /** The start of the prompt, hashed; empty for plain services. */
  prefix: string;
}

/** Computes the fingerprint of what an endpoint is asked to run. */
export function computeFingerprint(
  service: string,
  options: { method: string; path: string; body: Uint8Array },
): string {
  const hash = createHash("sha256");
  hash.update(`${service}\n${options.method}\n${options.path}\n`);
  hash.update(options.body);
  return hash.digest("base64url").slice(0, FINGERPRINT_CHARACTERS);
}

/** Distinguishes a retry from another call with the same idempotency key. */

import { createHash } from "node:crypto";
import type { KeyedCall } from "./execution.ts";

/**
 * Hashes the parts of a call that must be the same in a retry. Headers are
 * excluded, since clients and proxies change them between a call and its retry.
 */
export function hashCall(call: KeyedCall): string {
  const head = JSON.stringify([call.service, call.method, call.path]);
  return createHash("sha256")
    .update(head)
    .update("\n")
    .update(call.body)
    .digest("base64url");
}

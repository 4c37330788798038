/** Tells a repeat of a call from another call under the same key. */

import { createHash } from "node:crypto";
import type { KeyedCall } from "./execution.ts";

/**
 * Hashes what must be the same in a repeat. Headers are left out: clients and
 * proxies change them between a call and its repeat.
 */
export function hashCall(call: KeyedCall): string {
  const head = JSON.stringify([call.service, call.method, call.path]);
  return createHash("sha256")
    .update(head)
    .update("\n")
    .update(call.body)
    .digest("base64url");
}

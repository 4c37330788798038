/** A dialect that takes as long as a small part of a processor. */

import type { IncomingHttpHeaders } from "node:http";
import type { CallIdentity } from "../model/call.ts";
import type { AttemptHeaders } from "../model/dialect.ts";
import { TestDialect } from "./test_dialect.ts";

const READ_MILLISECONDS = 1.5;
const ATTEMPT_MILLISECONDS = 4;

/** Takes as long for each head and attempt as a small part of a processor. */
export class SlowDialect extends TestDialect {
  override readIdentity(headers: IncomingHttpHeaders): CallIdentity {
    runBusyLoop(READ_MILLISECONDS);
    return super.readIdentity(headers);
  }

  override buildHeaders(
    rawHeaders: readonly string[],
    attempt: AttemptHeaders,
  ): string[] {
    runBusyLoop(ATTEMPT_MILLISECONDS);
    return super.buildHeaders(rawHeaders, attempt);
  }
}

/** Spends processor time. */
export function runBusyLoop(milliseconds: number): void {
  const endsAt = performance.now() + milliseconds;
  while (performance.now() < endsAt) {
    // Spends processor time.
  }
}

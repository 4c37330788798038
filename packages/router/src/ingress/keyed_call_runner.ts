/** Interface through which the ingress runs calls with idempotency keys. */

import type { IngressCall } from "./ingress_call.ts";
import type { PlainAnswer } from "./plain_run.ts";

/** Runs the call of each idempotency key at most once. */
export abstract class KeyedCallRunner {
  /** Issues a key that can be used while the platform is unavailable. */
  abstract issueKey(organisation: string): string;

  /**
   * Runs a call. If a call with the same key is in progress, waits for it; if
   * it has finished, replays its response. Throws a CallerError whose outcome
   * states whether the call may have run.
   */
  abstract run(
    call: IngressCall,
    options: { key: string },
    signal: AbortSignal,
  ): Promise<PlainAnswer>;
}

/** Contract of how the ingress runs calls that must not be repeated. */

import type { IngressCall } from "./ingress_call.ts";
import type { PlainAnswer } from "./plain_run.ts";

/** Runs each key's call at most once. */
export abstract class KeyedCallRunner {
  /** Issues a key that works without the platform. */
  abstract issueKey(organisation: string): string;

  /**
   * Runs a call, or joins or replays the one that its key has already
   * started. Throws a CallerError whose outcome tells whether it may have
   * run.
   */
  abstract run(
    call: IngressCall,
    options: { key: string },
    signal: AbortSignal,
  ): Promise<PlainAnswer>;
}

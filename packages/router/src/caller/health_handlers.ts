/** Liveness and readiness probes for the load balancer. */

import { type CallerExchange, CallerHandler } from "./caller_server.ts";
import { CallerError, CallerErrorKind } from "./caller_error.ts";

const OK = 200;
const PROBE_METHODS = ["GET", "HEAD"];

/** Reports that the process is running. */
export class LivenessHandler extends CallerHandler {
  override readonly methods = PROBE_METHODS;

  override matches(path: string): boolean {
    return path === "/livez";
  }

  override handle({ answer }: CallerExchange): Promise<void> {
    answer.sendJson(OK, { live: true });
    return Promise.resolve();
  }
}

/** Reports whether the load balancer should send requests to this VM. */
export class ReadinessHandler extends CallerHandler {
  override readonly methods = PROBE_METHODS;
  readonly #findNotReadyReason: () => string | undefined;

  /** `findNotReadyReason` returns undefined when the VM is ready. */
  constructor(findNotReadyReason: () => string | undefined) {
    super();
    this.#findNotReadyReason = findNotReadyReason;
  }

  override matches(path: string): boolean {
    return path === "/readyz";
  }

  override handle({ answer }: CallerExchange): Promise<void> {
    const reason = this.#findNotReadyReason();
    if (reason !== undefined) {
      throw new CallerError(CallerErrorKind.NotReady, reason);
    }
    answer.sendJson(OK, { ready: true });
    return Promise.resolve();
  }
}

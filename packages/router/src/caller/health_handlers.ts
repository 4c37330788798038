/** Answers for the balancer. */

import { type CallerExchange, CallerHandler } from "./caller_server.ts";
import { CallerError, CallerErrorKind } from "./caller_error.ts";

const OK = 200;
const PROBE_METHODS = ["GET", "HEAD"];

/** Says that the process runs. */
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

/** Says whether the VM should get callers. */
export class ReadinessHandler extends CallerHandler {
  override readonly methods = PROBE_METHODS;
  readonly #findObstacle: () => string | undefined;

  /** The function returns why the VM is not ready, or undefined. */
  constructor(findObstacle: () => string | undefined) {
    super();
    this.#findObstacle = findObstacle;
  }

  override matches(path: string): boolean {
    return path === "/readyz";
  }

  override handle({ answer }: CallerExchange): Promise<void> {
    const obstacle = this.#findObstacle();
    if (obstacle !== undefined) {
      throw new CallerError(CallerErrorKind.NotReady, obstacle);
    }
    answer.sendJson(OK, { ready: true });
    return Promise.resolve();
  }
}

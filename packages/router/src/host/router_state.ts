/** Whether a router takes requests, and why not. */

import { CallerErrorKind } from "../caller/caller_error.ts";

/** The phases of a router's life. */
export enum RouterPhase {
  /** No configuration is in force yet. */
  Starting = "starting",
  Serving = "serving",
  /** Finishes what it has; the balancer should send nothing new. */
  Leaving = "leaving",
}

/** The phase of one router. */
export class RouterState {
  phase = RouterPhase.Starting;

  /** Why the VM is not ready for the balancer; undefined when it is. */
  findReadinessObstacle(): string | undefined {
    switch (this.phase) {
      case RouterPhase.Starting:
        return "This VM has no configuration yet";
      case RouterPhase.Leaving:
        return "This VM is shutting down";
      case RouterPhase.Serving:
        return undefined;
    }
  }

  /**
   * Why no request is taken. A VM that leaves still serves what reaches it
   * before the balancer has heard of it.
   */
  findObstacle(): CallerErrorKind | undefined {
    return this.phase === RouterPhase.Starting
      ? CallerErrorKind.NotReady
      : undefined;
  }
}

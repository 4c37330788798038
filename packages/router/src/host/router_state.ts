/** The lifecycle phase of a router and whether it accepts requests. */

import { CallerErrorKind } from "../caller/caller_error.ts";

/** The lifecycle phases of a router. */
export enum RouterPhase {
  /** No configuration is in force yet. */
  Starting = "starting",
  Serving = "serving",
  /** Finishes its requests; the load balancer should send no new ones. */
  Leaving = "leaving",
}

/** The lifecycle phase of one router. */
export class RouterState {
  phase = RouterPhase.Starting;

  /** Returns why the readiness probe fails; undefined when the VM is ready. */
  findNotReadyReason(): string | undefined {
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
   * Returns the error with which requests are rejected; undefined when they are
   * accepted. A VM that is shutting down still accepts requests, because they
   * arrive until the load balancer has noticed.
   */
  findRefusalKind(): CallerErrorKind | undefined {
    return this.phase === RouterPhase.Starting
      ? CallerErrorKind.NotReady
      : undefined;
  }
}

/** Interface of the platform's list of VMs, which may be out of date. */

import type { Result } from "neverthrow";
import type { PlatformError } from "./platform_error.ts";

/** The state of a VM as the platform reports it. */
export enum ListedVmState {
  Live = "live",
  Leaving = "leaving",
}

/** An entry of the platform's VM list. */
export interface ListedVm {
  vm: string;
  zone: string;
  host: string;
  controlPort: number;
  callerPort: number;
  state: ListedVmState;
}

/** The platform's list of VMs; it lags behind their actual state. */
export abstract class VmList {
  /** Reads the complete list. */
  abstract list(
    signal: AbortSignal,
  ): Promise<Result<ListedVm[], PlatformError>>;
}

/** Contract of the platform's lagging list of VMs. */

import type { Result } from "neverthrow";
import type { PlatformError } from "./platform_error.ts";

/** What the platform says of a VM. */
export enum ListedVmState {
  Live = "live",
  Leaving = "leaving",
}

/** A VM as the platform lists it. */
export interface ListedVm {
  vm: string;
  zone: string;
  host: string;
  controlPort: number;
  callerPort: number;
  state: ListedVmState;
}

/** The platform's list of VMs; it lags behind the truth. */
export abstract class VmList {
  /** Reads the whole list. */
  abstract list(
    signal: AbortSignal,
  ): Promise<Result<ListedVm[], PlatformError>>;
}

/** The platform stand-in of a fleet. */

import type { PlatformCounters } from "@rattanvane/emulator";
import type { JsonClient } from "../common/json_client.ts";
import {
  type EmulatorOptions,
  type StartedEmulator,
  startEmulator,
} from "./emulator_process.ts";
import type { ManagedProcess } from "./managed_process.ts";

/** Faults of the platform; what is not named works. */
export interface PlatformFaultSettings {
  outage?: boolean;
  delayMilliseconds?: number;
  /** The fraction of writes that take effect without an answer. */
  loseWriteAnswers?: number;
  seed?: number;
}

/** How a VM is registered. */
export interface VmRegistration {
  vm: string;
  zone: string;
  host: string;
  controlPort: number;
  callerPort: number;
}

/** A running platform stand-in. */
export class FleetPlatform {
  readonly process: ManagedProcess;
  readonly port: number;
  readonly #admin: JsonClient;

  constructor(started: StartedEmulator) {
    this.process = started.process;
    this.port = started.port;
    this.#admin = started.admin;
  }

  /** The URL without the proxy. */
  get url(): string {
    return `http://127.0.0.1:${this.port}`;
  }

  /** Puts a VM on the platform's list. */
  async registerVm(registration: VmRegistration): Promise<void> {
    const { vm, ...body } = registration;
    const path = `/admin/vms/${encodeURIComponent(vm)}`;
    await this.#admin.send({ method: "PUT", path, body });
  }

  /** Lists a VM as leaving. */
  async updateVmLeaving(vm: string): Promise<void> {
    const path = `/admin/vms/${encodeURIComponent(vm)}`;
    const body = { state: "leaving" };
    await this.#admin.send({ method: "PATCH", path, body });
  }

  /** Takes a VM off the list. */
  async removeVm(vm: string): Promise<void> {
    const path = `/admin/vms/${encodeURIComponent(vm)}`;
    await this.#admin.send({ method: "DELETE", path });
  }

  /** Puts faults in force in place of the former ones. */
  async applyFaults(faults: PlatformFaultSettings): Promise<void> {
    const path = "/admin/faults";
    await this.#admin.send({ method: "POST", path, body: faults });
  }

  async readCounters(): Promise<PlatformCounters> {
    return await this.#admin.read("/admin/counters");
  }
}

/** Starts a platform stand-in. */
export async function startPlatform(
  options: EmulatorOptions,
  signal: AbortSignal,
): Promise<FleetPlatform> {
  const command = { name: "platform", kind: "platform" as const, options };
  return new FleetPlatform(await startEmulator(command, signal));
}

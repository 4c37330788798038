/** The fault-injecting proxy of a fleet. */

import type { LinkFaults } from "@rattanvane/emulator";
import type { JsonClient } from "../common/json_client.ts";
import { type StartedEmulator, startEmulator } from "./emulator_process.ts";
import type { ManagedProcess } from "./managed_process.ts";

/** A forward to add. */
export interface ForwardRequest {
  host: string;
  port: number;
  /** The link of connecting IP numbers that are not listed. */
  link: string;
  linksBySource?: Record<string, string>;
}

/** A link's faults and counts. */
export interface LinkReport extends LinkFaults {
  connections: number;
  bytesToTarget: number;
  bytesFromTarget: number;
}

/** A running proxy. */
export class FleetProxy {
  readonly process: ManagedProcess;
  readonly #admin: JsonClient;

  constructor(started: StartedEmulator) {
    this.process = started.process;
    this.#admin = started.admin;
  }

  /** Adds a forward; returns the port that it listens on. */
  async addForward(request: ForwardRequest): Promise<number> {
    const answer = await this.#admin.send<{ port: number }>({
      method: "POST",
      path: "/forwards",
      body: request,
    });
    return answer.port;
  }

  /** Puts faults in force on several links at one moment. */
  async applyFaults(
    links: readonly string[],
    faults: Partial<LinkFaults>,
  ): Promise<void> {
    const body = { links, faults };
    await this.#admin.send({ method: "POST", path: "/faults", body });
  }

  /** Ends all faults of all links. */
  async heal(): Promise<void> {
    await this.#admin.send({ method: "POST", path: "/heal" });
  }

  /** Reads the faults and counts of all links. */
  async readLinks(): Promise<Record<string, LinkReport>> {
    const answer = await this.#admin.read<
      { links: Record<string, LinkReport> }
    >("/links");
    return answer.links;
  }
}

/** Starts a proxy. */
export async function startProxy(signal: AbortSignal): Promise<FleetProxy> {
  const command = { name: "proxy", kind: "proxy" as const, options: {} };
  return new FleetProxy(await startEmulator(command, signal));
}

/** The endpoint stand-ins of a fleet. */

import type { EngineCounters } from "@rattanvane/emulator";
import type { JsonClient } from "../common/json_client.ts";
import {
  type EmulatorOptions,
  type StartedEmulator,
  startEmulator,
} from "./emulator_process.ts";
import type { ManagedProcess } from "./managed_process.ts";

/** Faults of an endpoint's answers; what is not named works. */
export interface AnswerFaultSettings {
  /** The fraction of answers that carry another attempt's id and content. */
  crossAnswers?: number;
  /** The fraction of answers, or of a stream's events, that come twice. */
  duplicateAnswers?: number;
  /** The fraction of answers that come after `lateMilliseconds`. */
  lateAnswers?: number;
  lateMilliseconds?: number;
  delayMilliseconds?: number;
  seed?: number;
}

/** Faults of an engine. */
export interface EngineFaultSettings extends AnswerFaultSettings {
  /** Cuts the first connection of each attempt after so many tokens. */
  cutAfterTokens?: number;
}

/** Faults of a plain service. */
export interface PlainFaultSettings extends AnswerFaultSettings {
  /** The fraction of calls that run and then lose their connection. */
  cutAnswers?: number;
  /** How many of the next jobs crash the service before they run. */
  crashBeforeRunning?: number;
  /** How many of the next jobs crash it after they ran. */
  crashAfterRunning?: number;
}

/** Counts of a plain service. */
export interface PlainCounts {
  started: number;
  completed: number;
  refused: number;
  crashes: number;
  mostRunning: number;
}

/** What to start, and where it stands. */
export interface EndpointPlan {
  name: string;
  zone: string;
  options: EmulatorOptions;
}

/** A running endpoint stand-in. */
export abstract class FleetEndpoint {
  readonly name: string;
  readonly zone: string;
  readonly process: ManagedProcess;
  readonly port: number;
  protected readonly admin: JsonClient;

  constructor(plan: EndpointPlan, started: StartedEmulator) {
    this.name = plan.name;
    this.zone = plan.zone;
    this.process = started.process;
    this.port = started.port;
    this.admin = started.admin;
  }

  /** The URL without the proxy. */
  get url(): string {
    return `http://127.0.0.1:${this.port}`;
  }

  /** Makes the endpoint lose its memory and vanish for a while. */
  async crash(): Promise<void> {
    await this.admin.send({ method: "POST", path: "/admin/crash" });
  }
}

/** A running engine stand-in. */
export class FleetEngine extends FleetEndpoint {
  /** Goes down like a crash, but is counted as a planned restart. */
  async restart(): Promise<void> {
    await this.admin.send({ method: "POST", path: "/admin/restart" });
  }

  /** Puts faults in force in place of the former ones. */
  async applyFaults(faults: EngineFaultSettings): Promise<void> {
    const path = "/admin/faults";
    await this.admin.send({ method: "POST", path, body: faults });
  }

  async readCounters(): Promise<EngineCounters> {
    return await this.admin.read("/admin/counters");
  }
}

/** A running plain service stand-in. */
export class FleetPlain extends FleetEndpoint {
  /** Puts faults in force in place of the former ones. */
  async applyFaults(faults: PlainFaultSettings): Promise<void> {
    const path = "/admin/faults";
    await this.admin.send({ method: "POST", path, body: faults });
  }

  async readCounters(): Promise<PlainCounts> {
    return await this.admin.read("/admin/counters");
  }

  /** How often each job ran here, its crashes included. */
  async readRuns(): Promise<Record<string, number>> {
    const { runs } = await this.admin.read<{ runs: Record<string, number> }>(
      "/runs",
    );
    return runs;
  }
}

/** Starts an engine stand-in. */
export async function startEngine(
  plan: EndpointPlan,
  signal: AbortSignal,
): Promise<FleetEngine> {
  const { name, options } = plan;
  const command = { name, kind: "engine" as const, options };
  return new FleetEngine(plan, await startEmulator(command, signal));
}

/** Starts a plain service stand-in. */
export async function startPlain(
  plan: EndpointPlan,
  signal: AbortSignal,
): Promise<FleetPlain> {
  const { name, options } = plan;
  const command = { name, kind: "plain" as const, options };
  return new FleetPlain(plan, await startEmulator(command, signal));
}

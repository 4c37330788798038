/** A router of a fleet, over all the starts of its process. */

import { request } from "undici";
import { waitUntil } from "../common/wait.ts";
import { BenchError, BenchErrorKind } from "../common/bench_error.ts";
import type { RouterPlan } from "./fleet_plan.ts";
import { ManagedProcess } from "./managed_process.ts";
import type { LogLine, LogQuery } from "./process_log.ts";

const READY_TIMEOUT_MILLISECONDS = 20_000;
const READY_STATUS = 200;

/** A router that can be started, ended, frozen and started again. */
export class FleetRouter {
  readonly plan: RouterPlan;
  readonly settingsFile: string;
  readonly #program: string;
  readonly #signal: AbortSignal;
  readonly #processes: ManagedProcess[] = [];

  constructor(
    plan: RouterPlan,
    options: { program: string; settingsFile: string },
    signal: AbortSignal,
  ) {
    this.plan = plan;
    this.settingsFile = options.settingsFile;
    this.#program = options.program;
    this.#signal = signal;
  }

  get vm(): string {
    return this.plan.vm;
  }

  get zone(): string {
    return this.plan.zone;
  }

  /** The URL for callers; never through the proxy. */
  get callerUrl(): string {
    return `http://${this.plan.host}:${this.plan.callerPort}`;
  }

  /** The newest process; throws before the first start. */
  get process(): ManagedProcess {
    const newest = this.#processes.at(-1);
    if (newest === undefined) {
      throw new BenchError(
        BenchErrorKind.Process,
        `The router "${this.vm}" has not been started`,
      );
    }
    return newest;
  }

  /** Starts a process that knows nothing, and returns at once. */
  start(): void {
    const process = new ManagedProcess({
      name: this.vm,
      program: this.#program,
      words: ["router", "--settings", this.settingsFile],
    }, this.#signal);
    this.#processes.push(process);
  }

  /** Waits until the router is ready for callers. */
  async waitUntilReady(): Promise<void> {
    await waitUntil(
      () => this.#isReady(),
      {
        until: `the router "${this.vm}" is ready`,
        timeoutMilliseconds: READY_TIMEOUT_MILLISECONDS,
      },
      this.#signal,
    );
  }

  /** Ends the process at once and starts an empty one. */
  async restart(): Promise<void> {
    this.process.kill();
    await this.process.ended;
    this.start();
    await this.waitUntilReady();
  }

  /** The log lines of all starts that match a query. */
  findLogLines(query: LogQuery): LogLine[] {
    return this.#processes.flatMap((process) => process.log.find(query));
  }

  async #isReady(): Promise<boolean> {
    if (!this.process.isRunning) {
      throw this.process.createEndError();
    }
    try {
      const response = await request(`${this.callerUrl}/readyz`);
      await response.body.dump();
      return response.statusCode === READY_STATUS;
    } catch {
      return false;
    }
  }
}

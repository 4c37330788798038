/** The plain service stand-in's HTTP server. */

import type { Clock, Logger } from "@rattanvane/base";
import { sendDoubledJson } from "../common/doubled_answer.ts";
import {
  type HeaderFields,
  type HttpExchange,
  HttpProblem,
} from "../common/http_exchange.ts";
import { JsonFields, readJsonFields } from "../common/json_fields.ts";
import { LaggingLoad } from "../common/lagging_load.ts";
import {
  type ListenOptions,
  RestartableServer,
} from "../common/restartable_server.ts";
import { PlainCounters } from "./plain_counters.ts";
import { type PlainCall, readPlainCall } from "./plain_calls.ts";
import { PlainFaults } from "./plain_faults.ts";

/** How the plain stand-in behaves; all times are in milliseconds. */
export interface PlainOptions extends ListenOptions {
  clock: Clock;
  logger: Logger;
  /** Tells apart the boot ids of services and of processes. */
  instance: string;
  /** How many calls it runs at once; more are refused. */
  slots: number;
  /** How long a call runs. */
  callMilliseconds: number;
  /** How long it refuses connections after a crash. */
  restartMilliseconds: number;
  loadLagMilliseconds: number;
}

/** What the service has in memory from one start to the next. */
interface Boot {
  id: string;
  startedAt: number;
  running: number;
  load: LaggingLoad;
}

/** Runs jobs and lookups, and counts how often each job ran. */
export class PlainServer {
  readonly #options: PlainOptions;
  readonly #signal: AbortSignal;
  readonly #counters = new PlainCounters();
  readonly #server: RestartableServer;
  readonly #adminServer: RestartableServer;
  #faults = new PlainFaults(new JsonFields({}));
  #boots = 0;
  #boot: Boot;

  constructor(options: PlainOptions, signal: AbortSignal) {
    this.#options = options;
    this.#signal = signal;
    this.#boot = this.#createBoot();
    this.#server = new RestartableServer(
      (exchange) => this.#handle(exchange),
      options,
      signal,
    );
    this.#adminServer = new RestartableServer(
      (exchange) => this.#handleAdmin(exchange),
      { ...options, port: 0 },
      signal,
    );
  }

  /** The port; known once the server has started. */
  get port(): number {
    return this.#server.port;
  }

  /** The admin's port; known once the server has started. */
  get adminPort(): number {
    return this.#adminServer.port;
  }

  /** Opens both ports. */
  async start(): Promise<void> {
    await this.#adminServer.listen();
    await this.#server.listen();
  }

  async #handle(exchange: HttpExchange): Promise<void> {
    const [first] = exchange.segments;
    if (first === "admin" || first === "runs") {
      await this.#handleAdmin(exchange);
      return;
    }
    if (first === "load") {
      this.#sendLoad(exchange);
      return;
    }
    const call = await readPlainCall(exchange);
    if (this.#boot.running >= this.#options.slots) {
      this.#counters.refused++;
      exchange.sendJson(503, { error: { message: "All slots are in use" } }, {
        ...this.#buildHeaders(exchange),
        "x-outcome": "not_run",
      });
      return;
    }
    await this.#run(exchange, call);
  }

  /** Runs a call; a crash at any point leaves it without an answer. */
  async #run(exchange: HttpExchange, call: PlainCall): Promise<void> {
    const boot = this.#boot;
    const faults = this.#faults;
    if (call.runsJob && faults.takeCrashBefore()) {
      await this.#crash();
      return;
    }
    this.#updateRunning(boot, 1);
    this.#counters.started++;
    const body = call.run(this.#counters);
    await this.#options.clock.sleep(
      this.#options.callMilliseconds,
      this.#signal,
    );
    this.#updateRunning(boot, -1);
    if (boot !== this.#boot) {
      return;
    }
    this.#counters.completed++;
    if (call.runsJob && faults.takeCrashAfter()) {
      await this.#crash();
      return;
    }
    await this.#answer(exchange, body, faults);
  }

  async #answer(
    exchange: HttpExchange,
    body: object,
    faults: PlainFaults,
  ): Promise<void> {
    const delay = faults.answers.pickDelayMilliseconds();
    if (delay > 0) {
      await this.#options.clock.sleep(delay, this.#signal);
    }
    if (faults.cutting.strikes()) {
      exchange.cut();
      return;
    }
    const headers = this.#buildHeaders(exchange);
    if (faults.answers.crossing.strikes()) {
      const attempt = `${headers["x-attempt-id"]}-stranger`;
      exchange.sendJson(200, { job: "somebody else's", status: "printed" }, {
        ...headers,
        "x-attempt-id": attempt,
      });
      return;
    }
    if (faults.answers.duplication.strikes()) {
      sendDoubledJson(exchange, body, headers);
      return;
    }
    exchange.sendJson(200, body, headers);
  }

  #sendLoad(exchange: HttpExchange): void {
    const boot = this.#boot;
    exchange.sendJson(200, {
      bootId: boot.id,
      uptimeMilliseconds: Math.round(
        this.#options.clock.now() - boot.startedAt,
      ),
      ...boot.load.report(),
      waiting: 0,
      slots: this.#options.slots,
    }, { "x-boot-id": boot.id });
  }

  async #handleAdmin(exchange: HttpExchange): Promise<void> {
    const fields = await readJsonFields(exchange);
    switch (`${exchange.method} ${exchange.url.pathname}`) {
      case "GET /runs":
        exchange.sendJson(200, { runs: this.#counters.listRuns() });
        return;
      case "GET /admin/counters":
        exchange.sendJson(200, this.#counters);
        return;
      case "POST /admin/faults":
        this.#faults = new PlainFaults(fields);
        exchange.sendEmpty(204);
        return;
      case "POST /admin/crash":
        exchange.sendEmpty(204);
        await this.#crash();
        return;
      default:
        throw new HttpProblem(404, `There is no "${exchange.url.pathname}"`);
    }
  }

  /** Loses all memory but the counters, and vanishes for a while. */
  async #crash(): Promise<void> {
    this.#counters.crashes++;
    this.#options.logger.warn("plain service went down", {
      running: this.#boot.running,
    });
    this.#boot = this.#createBoot();
    await this.#server.vanish(this.#options.restartMilliseconds, () => {
      this.#boot = this.#createBoot();
    });
  }

  #createBoot(): Boot {
    this.#boots++;
    const { clock, instance, loadLagMilliseconds } = this.#options;
    return {
      id: `${instance}-${this.#boots}`,
      startedAt: clock.now(),
      running: 0,
      load: new LaggingLoad(loadLagMilliseconds, clock),
    };
  }

  #updateRunning(boot: Boot, difference: number): void {
    boot.running += difference;
    boot.load.record(boot.running);
    this.#counters.mostRunning = Math.max(
      this.#counters.mostRunning,
      boot.running,
    );
  }

  #buildHeaders(exchange: HttpExchange): HeaderFields {
    return {
      "x-attempt-id": exchange.header("x-attempt-id"),
      "x-boot-id": this.#boot.id,
    };
  }
}

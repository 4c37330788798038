/** The platform stand-in's HTTP server. */

import type { Clock } from "@rattanvane/base";
import { type HttpExchange, HttpProblem } from "../common/http_exchange.ts";
import { JsonFields, readJsonFields } from "../common/json_fields.ts";
import {
  type ListenOptions,
  RestartableServer,
} from "../common/restartable_server.ts";
import { LaggingVmList, VmEntryState } from "./lagging_vm_list.ts";
import {
  applyObjectWrite,
  handleObjectRead,
  type StoredObjects,
} from "./object_routes.ts";
import { createPlatformCounters } from "./platform_counters.ts";
import { PlatformFaults } from "./platform_faults.ts";
import { RowTable } from "./row_table.ts";
import {
  applyTransaction,
  handleTableRead,
  readTransaction,
} from "./table_routes.ts";
import { TokenBucket } from "./token_bucket.ts";

const MILLISECONDS_PER_SECOND = 1000;

/** How the platform stand-in behaves. */
export interface PlatformOptions extends ListenOptions {
  clock: Clock;
  writesPerSecond: number;
  readsPerSecond: number;
  vmListLagMilliseconds: number;
}

/** Keeps a table, objects and a lagging list of VMs in memory. */
export class PlatformServer {
  readonly #clock: Clock;
  readonly #signal: AbortSignal;
  readonly #server: RestartableServer;
  readonly #table = new RowTable();
  readonly #objects: StoredObjects = new Map();
  readonly #vms: LaggingVmList;
  readonly #readBudget: TokenBucket;
  readonly #writeBudget: TokenBucket;
  readonly #counters = createPlatformCounters();
  #faults = new PlatformFaults(new JsonFields({}));

  constructor(options: PlatformOptions, signal: AbortSignal) {
    this.#clock = options.clock;
    this.#signal = signal;
    this.#vms = new LaggingVmList(
      options.vmListLagMilliseconds,
      options.clock,
    );
    this.#readBudget = new TokenBucket(options.readsPerSecond, options.clock);
    this.#writeBudget = new TokenBucket(options.writesPerSecond, options.clock);
    this.#server = new RestartableServer(
      (exchange) => this.#handle(exchange),
      options,
      signal,
    );
  }

  /** The port; known once the server has started. */
  get port(): number {
    return this.#server.port;
  }

  /** Opens the port. */
  async start(): Promise<void> {
    await this.#server.listen();
  }

  async #handle(exchange: HttpExchange): Promise<void> {
    if (exchange.segments[0] === "admin") {
      await this.#handleAdmin(exchange);
      return;
    }
    if (this.#refuses(exchange)) {
      return;
    }
    if (this.#faults.delayMilliseconds > 0) {
      await this.#clock.sleep(this.#faults.delayMilliseconds, this.#signal);
    }
    const service = exchange.segments[0];
    if (exchange.method === "GET") {
      this.#counters.reads++;
      this.#handleRead(service, exchange);
    } else {
      await this.#handleWrite(service, exchange);
    }
    this.#counters.bytes += exchange.bytesRead + exchange.bytesWritten;
  }

  /** Answers calls during an outage and calls over the budget. */
  #refuses(exchange: HttpExchange): boolean {
    if (this.#faults.outage) {
      this.#counters.unavailable++;
      exchange.sendJson(503, { error: { message: "Out of service" } });
      return true;
    }
    const isRead = exchange.method === "GET";
    const budget = isRead ? this.#readBudget : this.#writeBudget;
    const waitMilliseconds = budget.take();
    if (waitMilliseconds === 0) {
      return false;
    }
    this.#counters.refused++;
    const seconds = Math.ceil(waitMilliseconds / MILLISECONDS_PER_SECOND);
    exchange.sendJson(429, { error: { message: "Over budget" } }, {
      "retry-after": String(seconds),
    });
    return true;
  }

  #handleRead(service: string | undefined, exchange: HttpExchange): void {
    switch (service) {
      case "table": {
        const answer = handleTableRead(this.#table, exchange);
        exchange.sendJson(answer.status, answer.body);
        return;
      }
      case "objects":
        handleObjectRead(this.#objects, exchange);
        return;
      case "vms":
        exchange.sendJson(200, { vms: this.#vms.list() });
        return;
      default:
        throw new HttpProblem(404, `There is no "${exchange.url.pathname}"`);
    }
  }

  async #handleWrite(
    service: string | undefined,
    exchange: HttpExchange,
  ): Promise<void> {
    if (service === "table") {
      const changes = await readTransaction(exchange);
      this.#counters.writes++;
      const answer = applyTransaction(this.#table, changes);
      this.#finishWrite(
        exchange,
        () => exchange.sendJson(answer.status, answer.body),
      );
      return;
    }
    if (service !== "objects") {
      throw new HttpProblem(404, `There is no "${exchange.url.pathname}"`);
    }
    this.#counters.writes++;
    await applyObjectWrite(this.#objects, exchange);
    this.#finishWrite(exchange, () => exchange.sendEmpty(204));
  }

  #finishWrite(exchange: HttpExchange, answer: () => void): void {
    if (this.#faults.loseWriteAnswers.strikes()) {
      this.#counters.lost++;
      exchange.cut();
      return;
    }
    answer();
  }

  async #handleAdmin(exchange: HttpExchange): Promise<void> {
    const [, subject, vm] = exchange.segments;
    const fields = await readJsonFields(exchange);
    switch (`${exchange.method} ${subject}`) {
      case "GET counters":
        exchange.sendJson(200, this.#counters);
        return;
      case "POST faults":
        this.#faults = new PlatformFaults(fields);
        exchange.sendEmpty(204);
        return;
      case "PUT vms":
      case "PATCH vms":
      case "DELETE vms":
        this.#updateVm(exchange, vm ?? "", fields);
        return;
      default:
        throw new HttpProblem(404, `There is no "${exchange.url.pathname}"`);
    }
  }

  #updateVm(exchange: HttpExchange, vm: string, fields: JsonFields): void {
    let found = true;
    if (exchange.method === "PUT") {
      this.#vms.put({
        vm,
        zone: fields.string("zone"),
        host: fields.string("host"),
        controlPort: fields.number("controlPort"),
        callerPort: fields.number("callerPort"),
        state: parseState(fields.get("state") ?? VmEntryState.Live),
      });
    } else if (exchange.method === "PATCH") {
      found = this.#vms.updateState(vm, parseState(fields.get("state")));
    } else {
      found = this.#vms.remove(vm);
    }
    exchange.sendEmpty(found ? 204 : 404);
  }
}

function parseState(value: unknown): VmEntryState {
  if (value === VmEntryState.Live || value === VmEntryState.Leaving) {
    return value;
  }
  throw new HttpProblem(400, `The state "${value}" must be live or leaving`);
}

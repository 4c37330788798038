/** The engine stand-in's HTTP server. */

import type { Clock, Logger } from "@rattanvane/base";
import { type HttpExchange, HttpProblem } from "../common/http_exchange.ts";
import { JsonFields, readJsonFields } from "../common/json_fields.ts";
import {
  type ListenOptions,
  RestartableServer,
} from "../common/restartable_server.ts";
import { CompletionRoutes } from "./completion_routes.ts";
import { CrashCause, Engine } from "./engine.ts";
import { EngineFaults } from "./engine_faults.ts";
import type { EngineOptions } from "./engine_options.ts";
import { OrderAction } from "./order_book.ts";

/** What the server needs besides the engine's settings. */
export interface EngineServerOptions extends ListenOptions {
  clock: Clock;
  logger: Logger;
  engine: EngineOptions;
}

/** Serves the calls of an engine, and vanishes while it restarts. */
export class EngineServer {
  readonly #engine: Engine;
  readonly #completions: CompletionRoutes;
  readonly #server: RestartableServer;
  /** Answers only the admin's calls; stays open while the engine is down. */
  readonly #adminServer: RestartableServer;
  #faults = new EngineFaults(new JsonFields({}));

  constructor(options: EngineServerOptions, signal: AbortSignal) {
    this.#engine = new Engine(options.engine, options);
    this.#completions = new CompletionRoutes(
      this.#engine,
      options.clock,
      signal,
    );
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
    this.#engine.crashed.listen(() => void this.#restart(), signal);
    signal.addEventListener("abort", () => this.#engine.stop(), { once: true });
  }

  /** The port; known once the server has started. */
  get port(): number {
    return this.#server.port;
  }

  /** The admin's port; known once the server has started. */
  get adminPort(): number {
    return this.#adminServer.port;
  }

  /** Opens both ports, cold. */
  async start(): Promise<void> {
    await this.#adminServer.listen();
    await this.#server.listen();
    this.#engine.start();
  }

  async #restart(): Promise<void> {
    await this.#server.vanish(
      this.#engine.options.restartMilliseconds,
      () => this.#engine.start(),
    );
  }

  async #handle(exchange: HttpExchange): Promise<void> {
    const [first, second, third = ""] = exchange.segments;
    switch (`${exchange.method} /${first}/${second ?? ""}`) {
      case "POST /v1/completions":
        await this.#handleCompletion(exchange, false);
        return;
      case "POST /v1/chat":
        await this.#handleCompletion(exchange, true);
        return;
      case "POST /v1/streams":
        await this.#completions.handleResume(exchange, third, this.#faults);
        return;
      case "DELETE /v1/streams":
        exchange.sendEmpty(this.#engine.cancel(third) ? 204 : 404);
        return;
      case "GET /load/":
        this.#sendLoad(exchange);
        return;
      case "GET /cache/events": {
        const after = Number(exchange.url.searchParams.get("after") ?? 0);
        exchange.sendJson(200, this.#engine.cache.listEvents(after));
        return;
      }
      case "POST /orders/":
        await this.#handleOrder(exchange);
        return;
      default:
        await this.#handleAdmin(exchange);
    }
  }

  async #handleCompletion(
    exchange: HttpExchange,
    isChat: boolean,
  ): Promise<void> {
    await this.#completions.handleCompletion(exchange, {
      isChat,
      faults: this.#faults,
    });
  }

  #sendLoad(exchange: HttpExchange): void {
    exchange.sendJson(200, {
      bootId: this.#engine.bootId,
      uptimeMilliseconds: this.#engine.uptimeMilliseconds,
      ...this.#engine.load.report(),
      waiting: 0,
      slots: this.#engine.options.slots,
    }, { "x-boot-id": this.#engine.bootId });
  }

  async #handleOrder(exchange: HttpExchange): Promise<void> {
    const fields = await readJsonFields(exchange);
    const action = fields.string("action") as OrderAction;
    if (!Object.values(OrderAction).includes(action)) {
      throw new HttpProblem(400, `The action "${action}" is not known`);
    }
    const outcome = this.#engine.orders.apply({
      fencing: fields.number("fencing"),
      action,
      target: fields.string("target"),
    });
    const status = outcome.accepted ? 200 : 409;
    exchange.sendJson(status, { fencing: outcome.fencing });
  }

  async #handleAdmin(exchange: HttpExchange): Promise<void> {
    const [first, second] = exchange.segments;
    const fields = await readJsonFields(exchange);
    switch (`${exchange.method} /${first}/${second ?? ""}`) {
      case "GET /admin/counters":
        exchange.sendJson(200, this.#engine.counters);
        return;
      case "GET /admin/orders":
        exchange.sendJson(200, { orders: this.#engine.orders.accepted });
        return;
      case "POST /admin/faults":
        this.#faults = new EngineFaults(fields);
        exchange.sendEmpty(204);
        return;
      case "POST /admin/crash":
        exchange.sendEmpty(204);
        this.#engine.crash(CrashCause.Admin);
        return;
      case "POST /admin/restart":
        exchange.sendEmpty(204);
        this.#engine.crash(CrashCause.Restart);
        return;
      default:
        throw new HttpProblem(404, `There is no "${exchange.url.pathname}"`);
    }
  }
}

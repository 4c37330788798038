/** The proxy's admin port: forwards, links and their faults. */

import type { Clock } from "@rattanvane/base";
import { type HttpExchange, HttpProblem } from "../common/http_exchange.ts";
import { type JsonFields, readJsonFields } from "../common/json_fields.ts";
import {
  type ListenOptions,
  RestartableServer,
} from "../common/restartable_server.ts";
import { Forward } from "./forward.ts";
import { createLinkFaults, Link, parseLinkFaults } from "./link.ts";

/** How the proxy runs. */
export interface ProxyOptions extends ListenOptions {
  clock: Clock;
}

/** Forwards TCP connections and injects faults into them. */
export class ProxyServer {
  readonly #options: ProxyOptions;
  readonly #signal: AbortSignal;
  readonly #server: RestartableServer;
  readonly #links = new Map<string, Link>();

  constructor(options: ProxyOptions, signal: AbortSignal) {
    this.#options = options;
    this.#signal = signal;
    this.#server = new RestartableServer(
      (exchange) => this.#handle(exchange),
      options,
      signal,
    );
  }

  /** The admin's port; known once the server has started. */
  get port(): number {
    return this.#server.port;
  }

  /** Opens the admin's port. */
  async start(): Promise<void> {
    await this.#server.listen();
  }

  async #handle(exchange: HttpExchange): Promise<void> {
    const [first, name, action = ""] = exchange.segments;
    const fields = await readJsonFields(exchange);
    switch (`${exchange.method} ${first}/${action}`) {
      case "POST forwards/":
        exchange.sendJson(200, { port: await this.#addForward(fields) });
        return;
      case "GET links/":
        exchange.sendJson(200, { links: this.#describeLinks() });
        return;
      case "POST links/faults":
        this.#requireLink(name).apply(parseLinkFaults(fields));
        exchange.sendEmpty(204);
        return;
      case "POST faults/":
        this.#applyToMany(fields);
        exchange.sendEmpty(204);
        return;
      case "POST links/heal":
        this.#requireLink(name).apply(createLinkFaults());
        exchange.sendEmpty(204);
        return;
      case "POST heal/":
        for (const link of this.#links.values()) {
          link.apply(createLinkFaults());
        }
        exchange.sendEmpty(204);
        return;
      default:
        throw new HttpProblem(404, `There is no "${exchange.url.pathname}"`);
    }
  }

  /** Strikes several links at the same moment. */
  #applyToMany(fields: JsonFields): void {
    const links = fields.strings("links").map((name) =>
      this.#requireLink(name)
    );
    const faults = parseLinkFaults(fields.object("faults"));
    for (const link of links) {
      link.apply(faults);
    }
  }

  async #addForward(fields: JsonFields): Promise<number> {
    const sources = fields.get("linksBySource") ?? {};
    const linksBySource = new Map<string, Link>();
    for (const [source, name] of Object.entries(sources)) {
      linksBySource.set(source, this.#link(String(name)));
    }
    const forward = new Forward({
      clock: this.#options.clock,
      listenHost: this.#options.host,
      targetHost: fields.string("host"),
      targetPort: fields.number("port"),
      link: this.#link(fields.string("link")),
      linksBySource,
    }, this.#signal);
    await forward.listen();
    return forward.port;
  }

  #link(name: string): Link {
    const link = this.#links.get(name) ?? new Link(name);
    this.#links.set(name, link);
    return link;
  }

  #requireLink(name: string | undefined): Link {
    const link = this.#links.get(name ?? "");
    if (link === undefined) {
      throw new HttpProblem(404, `There is no link "${name}"`);
    }
    return link;
  }

  #describeLinks(): object {
    return Object.fromEntries(
      [...this.#links.values()].map((link) => [link.name, {
        connections: link.connections,
        bytesToTarget: link.bytesToTarget,
        bytesFromTarget: link.bytesFromTarget,
        ...link.faults,
      }]),
    );
  }
}

/** The addresses that a fleet's processes use, and faults on the way. */

import type { LinkFaults } from "@rattanvane/emulator";
import type { FleetEndpoint } from "./fleet_endpoint.ts";
import type { RouterPlan } from "./fleet_plan.ts";
import type { FleetProxy, LinkReport } from "./fleet_proxy.ts";

const PROXY_HOST = "127.0.0.1";
const UNKNOWN_SOURCE = "unknown";

/** The platform's name in links. */
export const PLATFORM = "platform";

/** One direction of dialling between two processes. */
export interface FleetLink {
  name: string;
  /** The VM that dials, or `unknown`. */
  from: string;
  fromZone: string | undefined;
  /** A VM, an endpoint or the platform. */
  to: string;
  /** Undefined for the platform. */
  toZone: string | undefined;
}

/** An address as other processes see it. */
export interface VisibleAddress {
  host: string;
  callerPort: number;
  controlPort: number;
}

interface Target {
  name: string;
  zone: string | undefined;
  host: string;
  port: number;
}

/** Passes addresses on as they are, or as those of the proxy. */
export class FleetNetwork {
  readonly #proxy: FleetProxy | undefined;
  readonly #routers: readonly RouterPlan[];
  readonly #links = new Map<string, FleetLink>();

  constructor(proxy: FleetProxy | undefined, routers: readonly RouterPlan[]) {
    this.#proxy = proxy;
    this.#routers = routers;
  }

  /** The links that faults can strike; none without the proxy. */
  get links(): FleetLink[] {
    return [...this.#links.values()];
  }

  /** The address of a VM for the other VMs. */
  async exposeRouter(plan: RouterPlan): Promise<VisibleAddress> {
    const { host, callerPort, controlPort } = plan;
    if (this.#proxy === undefined) {
      return { host, callerPort, controlPort };
    }
    const target = { name: plan.vm, zone: plan.zone, host };
    return {
      host: PROXY_HOST,
      callerPort: await this.#forward({ ...target, port: callerPort }),
      controlPort: await this.#forward({ ...target, port: controlPort }),
    };
  }

  /** The URL of an endpoint for all VMs. */
  async exposeEndpoint(endpoint: FleetEndpoint): Promise<string> {
    if (this.#proxy === undefined) {
      return endpoint.url;
    }
    const { name, zone, port } = endpoint;
    const target = { name, zone, host: PROXY_HOST, port };
    return `http://${PROXY_HOST}:${await this.#forward(target)}`;
  }

  /** The URL of the platform for one VM. */
  async exposePlatform(plan: RouterPlan, port: number): Promise<string> {
    if (this.#proxy === undefined) {
      return `http://${PROXY_HOST}:${port}`;
    }
    const target = { name: PLATFORM, zone: undefined };
    const link = this.#addLink(plan, target);
    const forward = { host: PROXY_HOST, port, link };
    return `http://${PROXY_HOST}:${await this.#proxy.addForward(forward)}`;
  }

  /** Cuts two zones off from each other. */
  async cutZones(first: string, second: string): Promise<void> {
    await this.applyFaults(
      ({ fromZone, toZone }) =>
        (fromZone === first && toZone === second) ||
        (fromZone === second && toZone === first),
      { cut: true },
    );
  }

  /** Cuts a zone off from all other zones and from the platform. */
  async cutOffZone(zone: string): Promise<void> {
    await this.applyFaults(
      ({ fromZone, toZone }) => (fromZone === zone) !== (toZone === zone),
      { cut: true },
    );
  }

  /** Cuts a VM off from everything but its callers. */
  async cutOffVm(vm: string): Promise<void> {
    await this.applyFaults(
      ({ from, to }) => from === vm || to === vm,
      { cut: true },
    );
  }

  /** Cuts VMs off from the platform. */
  async cutPlatform(vms: readonly string[]): Promise<void> {
    await this.applyFaults(
      ({ from, to }) => to === PLATFORM && vms.includes(from),
      { cut: true },
    );
  }

  /** Puts faults in force on the links that are selected, at one moment. */
  async applyFaults(
    selects: (link: FleetLink) => boolean,
    faults: Partial<LinkFaults>,
  ): Promise<void> {
    const names = this.links.filter(selects).map((link) => link.name);
    await this.#requireProxy().applyFaults(names, faults);
  }

  /** Ends all faults. */
  async heal(): Promise<void> {
    await this.#requireProxy().heal();
  }

  /** Reads the counts of all links by their names. */
  async readLinks(): Promise<Record<string, LinkReport>> {
    return await this.#requireProxy().readLinks();
  }

  /**
   * Links over which somebody connected whose VM is not known: zone cuts
   * miss their traffic, so a test of a cut has to find none.
   */
  async findUnknownSources(): Promise<string[]> {
    const reports = await this.readLinks();
    return Object.entries(reports)
      .filter(([name, report]) =>
        name.startsWith(`${UNKNOWN_SOURCE}>`) && report.connections > 0
      )
      .map(([name]) => name);
  }

  async #forward(target: Target): Promise<number> {
    const sources = this.#routers.map((router) =>
      [router.host, this.#addLink(router, target)] as const
    );
    const unknown = { vm: UNKNOWN_SOURCE, zone: undefined };
    return await this.#requireProxy().addForward({
      host: target.host,
      port: target.port,
      link: this.#addLink(unknown, target),
      linksBySource: Object.fromEntries(sources),
    });
  }

  #addLink(
    from: { vm: string; zone: string | undefined },
    to: { name: string; zone: string | undefined },
  ): string {
    const name = `${from.vm}>${to.name}`;
    this.#links.set(name, {
      name,
      from: from.vm,
      fromZone: from.zone,
      to: to.name,
      toZone: to.zone,
    });
    return name;
  }

  #requireProxy(): FleetProxy {
    if (this.#proxy === undefined) {
      throw new Error("The fleet has no proxy; start it with proxied: true");
    }
    return this.#proxy;
  }
}

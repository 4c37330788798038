/** Finds the route of a request and the organisation of a key. */

import type { ServiceId } from "@rattanvane/protocol";
import type {
  ForwardedService,
  ForwardingConfiguration,
  ForwardingOrganisation,
  ForwardingRoute,
} from "./route.ts";

/** One configuration, indexed for requests. */
export class RouteTable {
  readonly configuration: ForwardingConfiguration;
  readonly #routes = new Map<string, ForwardingRoute[]>();
  readonly #services = new Map<ServiceId, ForwardedService>();
  readonly #organisations = new Map<string, ForwardingOrganisation>();

  constructor(configuration: ForwardingConfiguration) {
    this.configuration = configuration;
    for (const route of configuration.routes) {
      const routes = this.#routes.get(route.host) ?? [];
      routes.push(route);
      this.#routes.set(route.host, routes);
    }
    for (const routes of this.#routes.values()) {
      routes.sort((first, second) =>
        second.pathPrefix.length - first.pathPrefix.length
      );
    }
    for (const service of configuration.services) {
      this.#services.set(service.name, service);
    }
    for (const organisation of configuration.organisations) {
      for (const key of organisation.keys) {
        this.#organisations.set(key, organisation);
      }
    }
  }

  /** Whether requests need a key at all. */
  get hasOrganisations(): boolean {
    return this.configuration.organisations.length > 0;
  }

  /** Finds the route with the longest prefix that begins the path. */
  findRoute(host: string, path: string): ForwardingRoute | undefined {
    const name = removePort(host);
    return this.#routes.get(name)?.find((route) =>
      path.startsWith(route.pathPrefix)
    );
  }

  findService(name: ServiceId): ForwardedService | undefined {
    return this.#services.get(name);
  }

  findOrganisation(key: string): ForwardingOrganisation | undefined {
    return this.#organisations.get(key);
  }
}

function removePort(host: string): string {
  const colon = host.indexOf(":");
  const name = colon < 0 ? host : host.slice(0, colon);
  return name.toLowerCase();
}

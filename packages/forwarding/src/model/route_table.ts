/** Looks up the route of a request and the organisation of an API key. */

import type { ServiceId } from "@rattanvane/protocol";
import type {
  ForwardedService,
  ForwardingConfiguration,
  ForwardingOrganisation,
  ForwardingRoute,
} from "./route.ts";

/** Indexes one configuration for the lookups that each request needs. */
export class RouteTable {
  readonly configuration: ForwardingConfiguration;
  readonly #routesByHost = new Map<string, ForwardingRoute[]>();
  readonly #servicesByName = new Map<ServiceId, ForwardedService>();
  readonly #organisationsByKey = new Map<string, ForwardingOrganisation>();

  constructor(configuration: ForwardingConfiguration) {
    this.configuration = configuration;
    for (const route of configuration.routes) {
      const routes = this.#routesByHost.get(route.host) ?? [];
      routes.push(route);
      this.#routesByHost.set(route.host, routes);
    }
    for (const routes of this.#routesByHost.values()) {
      routes.sort((first, second) =>
        second.pathPrefix.length - first.pathPrefix.length
      );
    }
    for (const service of configuration.services) {
      this.#servicesByName.set(service.name, service);
    }
    for (const organisation of configuration.organisations) {
      for (const key of organisation.keys) {
        this.#organisationsByKey.set(key, organisation);
      }
    }
  }

  /** Whether any organisation is configured; if not, no request needs a key. */
  get hasOrganisations(): boolean {
    return this.configuration.organisations.length > 0;
  }

  /**
   * Finds the route of a host with the longest prefix of the path. A port in
   * the host is ignored, and so is the case of its letters.
   */
  findRoute(host: string, path: string): ForwardingRoute | undefined {
    const name = removePort(host);
    return this.#routesByHost.get(name)?.find((route) =>
      path.startsWith(route.pathPrefix)
    );
  }

  /** Finds a service by its name. */
  findService(name: ServiceId): ForwardedService | undefined {
    return this.#servicesByName.get(name);
  }

  /** Finds the organisation that owns an API key. */
  findOrganisation(key: string): ForwardingOrganisation | undefined {
    return this.#organisationsByKey.get(key);
  }
}

function removePort(host: string): string {
  const colon = host.indexOf(":");
  const name = colon < 0 ? host : host.slice(0, colon);
  return name.toLowerCase();
}

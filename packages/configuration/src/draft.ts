/** Builds a configuration; copies only the maps that operations modify. */

import { type Operation, OperationKind } from "./change.ts";
import type {
  Endpoint,
  FleetConfiguration,
  Organisation,
  Service,
  Zone,
} from "./model.ts";

/** A map that is copied before its first write. */
class CopyOnWriteMap<Value> {
  #map: ReadonlyMap<string, Value>;
  #copy: Map<string, Value> | undefined;

  constructor(map: ReadonlyMap<string, Value>) {
    this.#map = map;
  }

  get map(): ReadonlyMap<string, Value> {
    return this.#map;
  }

  set(name: string, value: Value): void {
    this.#write().set(name, value);
  }

  delete(name: string): void {
    this.#write().delete(name);
  }

  #write(): Map<string, Value> {
    if (this.#copy === undefined) {
      this.#copy = new Map(this.#map);
      this.#map = this.#copy;
    }
    return this.#copy;
  }
}

/** Applies operations to a base configuration without modifying the base. */
export class Draft {
  readonly #organisations: CopyOnWriteMap<Organisation>;
  readonly #services: CopyOnWriteMap<Service>;
  readonly #zones: CopyOnWriteMap<Zone>;
  readonly #endpoints: CopyOnWriteMap<Endpoint>;

  constructor(base: FleetConfiguration) {
    this.#organisations = new CopyOnWriteMap(base.organisations);
    this.#services = new CopyOnWriteMap(base.services);
    this.#zones = new CopyOnWriteMap(base.zones);
    this.#endpoints = new CopyOnWriteMap(base.endpoints);
  }

  /** Applies one operation without validating it. */
  apply(operation: Operation): void {
    switch (operation.kind) {
      case OperationKind.PutOrganisation:
        this.#organisations.set(
          operation.organisation.name,
          operation.organisation,
        );
        break;
      case OperationKind.RemoveOrganisation:
        this.#organisations.delete(operation.name);
        break;
      case OperationKind.PutService:
        this.#services.set(operation.service.name, operation.service);
        break;
      case OperationKind.RemoveService:
        this.#services.delete(operation.name);
        break;
      case OperationKind.PutZone:
        this.#zones.set(operation.zone.name, operation.zone);
        break;
      case OperationKind.RemoveZone:
        this.#zones.delete(operation.name);
        break;
      case OperationKind.PutEndpoint:
        this.#endpoints.set(operation.endpoint.name, operation.endpoint);
        break;
      case OperationKind.RemoveEndpoint:
        this.#endpoints.delete(operation.name);
        break;
    }
  }

  /** Returns the resulting configuration with the given version. */
  build(version: number): FleetConfiguration {
    return {
      version,
      organisations: this.#organisations.map,
      services: this.#services.map,
      zones: this.#zones.map,
      endpoints: this.#endpoints.map,
    };
  }
}

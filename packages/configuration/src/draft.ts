/** A configuration in the making; copies only what its operations touch. */

import { type Operation, OperationKind } from "./change.ts";
import type {
  Endpoint,
  FleetConfiguration,
  Organisation,
  Service,
  Zone,
} from "./model.ts";

/** A map that is copied before its first write. */
class CopiedMap<Value> {
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

/** Collects operations on top of a configuration that stays as it is. */
export class Draft {
  readonly #organisations: CopiedMap<Organisation>;
  readonly #services: CopiedMap<Service>;
  readonly #zones: CopiedMap<Zone>;
  readonly #endpoints: CopiedMap<Endpoint>;

  constructor(base: FleetConfiguration) {
    this.#organisations = new CopiedMap(base.organisations);
    this.#services = new CopiedMap(base.services);
    this.#zones = new CopiedMap(base.zones);
    this.#endpoints = new CopiedMap(base.endpoints);
  }

  /** Carries out one operation without any check. */
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

  /** The configuration so far, at a version. */
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

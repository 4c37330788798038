/** Builders of configurations and their parts for tests. */

import { createHash } from "node:crypto";
import type { EncodedChange } from "@rattanvane/protocol";
import { applyChange } from "../apply_change.ts";
import { type Operation, OperationKind } from "../change.ts";
import { encodeChange } from "../change_codec.ts";
import {
  createEmptyConfiguration,
  type Endpoint,
  type FleetConfiguration,
  type Organisation,
  type Service,
  ServiceKind,
  type Zone,
} from "../model.ts";

/** Hashes a text in the same way as a bearer key. */
export function hashText(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

/** Creates an organisation with one key. */
export function createOrganisation(
  name: string,
  fields: Partial<Organisation> = {},
): Organisation {
  return {
    name,
    weight: 1,
    keyHashes: [hashText(`key of ${name}`)],
    services: ["captions"],
    queueLimit: 100,
    ...fields,
  };
}

/** Creates a model service. */
export function createService(
  name: string,
  fields: Partial<Service> = {},
): Service {
  return {
    name,
    kind: ServiceKind.Model,
    repeatRules: [],
    initialCostEstimate: 100,
    ...fields,
  };
}

/** Creates a zone that is in use. */
export function createZone(name: string, fields: Partial<Zone> = {}): Zone {
  return { name, region: "region-1", drained: false, ...fields };
}

/** Creates an endpoint of the captions service. */
export function createEndpoint(
  name: string,
  fields: Partial<Endpoint> = {},
): Endpoint {
  return {
    name,
    zone: "zone-a",
    service: "captions",
    url: `http://${name}.test:8000`,
    coldLimit: 2,
    limitCeiling: 64,
    drained: false,
    checksFencing: false,
    ...fields,
  };
}

/** Creates an operation that adds or replaces an organisation. */
export function createPutOrganisation(organisation: Organisation): Operation {
  return { kind: OperationKind.PutOrganisation, organisation };
}

/** Creates an operation that adds or replaces a zone. */
export function createPutZone(zone: Zone): Operation {
  return { kind: OperationKind.PutZone, zone };
}

/** Creates an operation that adds or replaces a service. */
export function createPutService(service: Service): Operation {
  return { kind: OperationKind.PutService, service };
}

/** Creates an operation that adds or replaces an endpoint. */
export function createPutEndpoint(endpoint: Endpoint): Operation {
  return { kind: OperationKind.PutEndpoint, endpoint };
}

/** Creates two zones, one service with two endpoints and one organisation. */
export function createSmallFleetOperations(): Operation[] {
  return [
    createPutZone(createZone("zone-a")),
    createPutZone(createZone("zone-b")),
    createPutService(createService("captions")),
    createPutEndpoint(createEndpoint("captions-a1")),
    createPutEndpoint(createEndpoint("captions-b1", { zone: "zone-b" })),
    createPutOrganisation(createOrganisation("bakery")),
  ];
}

/** Creates a small fleet at version 1. */
export function createSmallFleet(): FleetConfiguration {
  return applyChange(createEmptyConfiguration(), {
    version: 1,
    operations: createSmallFleetOperations(),
  })._unsafeUnwrap();
}

/** Creates a fleet whose organisations have two keys and three services. */
export function createLargeFleet(organisations: number): FleetConfiguration {
  const services = ["captions", "summaries", "printing"];
  const parts = new Map<string, Organisation>();
  for (let index = 0; index < organisations; index++) {
    const name = `organisation-${index}`;
    const keyHashes = [hashText(`${name}/1`), hashText(`${name}/2`)];
    parts.set(name, createOrganisation(name, { services, keyHashes }));
  }
  return {
    ...createSmallFleet(),
    organisations: parts,
    services: new Map(services.map((name) => [name, createService(name)])),
  };
}

/** Creates a change that sets an organisation's weight to the version. */
export function createEncodedWeight(
  organisation: string,
  version: number,
): EncodedChange {
  return encodeChange({
    version,
    id: `change-${version}`,
    author: "test",
    acceptedAt: version,
    operations: [
      createPutOrganisation(
        createOrganisation(organisation, { weight: version }),
      ),
    ],
  });
}

import { expect } from "chai";
import { describe, it } from "mocha";
import { applyAcceptedChanges, applyChange } from "./apply_change.ts";
import { type Operation, OperationKind } from "./change.ts";
import { ConfigurationErrorKind } from "./configuration_error.ts";
import {
  createEndpoint,
  createLargeFleet,
  createOrganisation,
  createPutEndpoint,
  createPutOrganisation,
  createPutZone,
  createSmallFleet,
  createZone,
  hashText,
} from "./testing/fixtures.ts";

function applyToSmallFleet(operations: Operation[]) {
  return applyChange(createSmallFleet(), { version: 2, operations });
}

function createRemoval(
  kind:
    | OperationKind.RemoveOrganisation
    | OperationKind.RemoveService
    | OperationKind.RemoveZone
    | OperationKind.RemoveEndpoint,
  name: string,
): Operation {
  return { kind, name };
}

const { RemoveEndpoint, RemoveOrganisation, RemoveService, RemoveZone } =
  OperationKind;

describe("applyChange", () => {
  it("leaves the old configuration and unaffected parts unchanged", () => {
    const before = createSmallFleet();
    const after = applyChange(before, {
      version: 2,
      operations: [createPutZone(createZone("zone-a", { drained: true }))],
    })._unsafeUnwrap();
    expect(before.zones.get("zone-a")?.drained).to.equal(false);
    expect(after.zones.get("zone-a")?.drained).to.equal(true);
    expect(after.version).to.equal(2);
    expect(after.organisations).to.equal(before.organisations);
    expect(after.endpoints).to.equal(before.endpoints);
  });

  it("removes a service together with its last users", () => {
    const after = applyToSmallFleet([
      createRemoval(RemoveService, "captions"),
      createRemoval(RemoveOrganisation, "bakery"),
      createRemoval(RemoveEndpoint, "captions-a1"),
      createRemoval(RemoveEndpoint, "captions-b1"),
    ])._unsafeUnwrap();
    expect(after.services.size + after.endpoints.size).to.equal(0);
  });

  const cases: {
    title: string;
    operations: Operation[];
    kind: ConfigurationErrorKind;
    says: string;
  }[] = [
    {
      title: "a change without operations",
      operations: [],
      kind: ConfigurationErrorKind.BadValue,
      says: "without operations",
    },
    {
      title: "an organisation's unknown service",
      operations: [
        createPutOrganisation(createOrganisation("camp", { services: ["x"] })),
      ],
      kind: ConfigurationErrorKind.UnknownReference,
      says: 'organisation "camp": there is no service "x"',
    },
    {
      title: "an endpoint's unknown zone",
      operations: [createPutEndpoint(createEndpoint("e", { zone: "z" }))],
      kind: ConfigurationErrorKind.UnknownReference,
      says: 'endpoint "e": there is no zone "z"',
    },
    {
      title: "an endpoint's unknown service",
      operations: [createPutEndpoint(createEndpoint("e", { service: "s" }))],
      kind: ConfigurationErrorKind.UnknownReference,
      says: 'endpoint "e": there is no service "s"',
    },
    {
      title: "the removal of a zone with endpoints",
      operations: [createRemoval(RemoveZone, "zone-a")],
      kind: ConfigurationErrorKind.InUse,
      says: 'zone "zone-a": the endpoint "captions-a1" uses it',
    },
    {
      title: "the removal of an endpoint that is not there",
      operations: [createRemoval(RemoveEndpoint, "captions-z9")],
      kind: ConfigurationErrorKind.NotFound,
      says: 'endpoint "captions-z9"',
    },
    {
      title: "a weight of nothing",
      operations: [
        createPutOrganisation(createOrganisation("camp", { weight: 0 })),
      ],
      kind: ConfigurationErrorKind.BadValue,
      says: '0 for "operations.0.organisation.weight"',
    },
    {
      title: "a URL with a trailing slash",
      operations: [
        createPutEndpoint(createEndpoint("e", { url: "http://10.0.0.1/" })),
      ],
      kind: ConfigurationErrorKind.BadValue,
      says: "operations.0.endpoint.url",
    },
    {
      title: "a URL that another endpoint has",
      operations: [
        createPutEndpoint(
          createEndpoint("e", { url: "http://captions-a1.test:8000" }),
        ),
      ],
      kind: ConfigurationErrorKind.Duplicate,
      says: 'endpoint "captions-a1" has already',
    },
    {
      title: "a ceiling below the cold limit",
      operations: [
        createPutEndpoint(
          createEndpoint("e", { coldLimit: 9, limitCeiling: 8 }),
        ),
      ],
      kind: ConfigurationErrorKind.BadValue,
      says: 'ceiling "8"',
    },
    {
      title: "a key that another organisation has",
      operations: [
        createPutOrganisation(createOrganisation("camp", {
          keyHashes: [hashText("key of bakery")],
        })),
      ],
      kind: ConfigurationErrorKind.Duplicate,
      says: 'the organisation "bakery" has already',
    },
    {
      title: "a key given twice",
      operations: [
        createPutOrganisation(createOrganisation("camp", {
          keyHashes: [hashText("k"), hashText("k")],
        })),
      ],
      kind: ConfigurationErrorKind.Duplicate,
      says: "it has already",
    },
  ];
  for (const wrong of cases) {
    it(`refuses ${wrong.title}`, () => {
      const errors = applyToSmallFleet(wrong.operations)._unsafeUnwrapErr();
      expect(errors).to.have.length(1);
      expect(errors[0]!.kind).to.equal(wrong.kind);
      expect(errors[0]!.message).to.include(wrong.says);
    });
  }

  it("names all users of a service that is to be removed", () => {
    const errors = applyToSmallFleet([
      createRemoval(RemoveService, "captions"),
    ])._unsafeUnwrapErr();
    expect(errors).to.have.length(3);
  });

  it("returns the errors of all operations at once", () => {
    const errors = applyToSmallFleet([
      createRemoval(RemoveZone, "zone-z"),
      createPutEndpoint(createEndpoint("e", { zone: "z", service: "s" })),
      createPutOrganisation(createOrganisation("camp", { services: ["x"] })),
    ])._unsafeUnwrapErr();
    expect(errors).to.have.length(4);
  });
});

describe("applyAcceptedChanges", () => {
  it("applies many changes and copies only the maps that they modify", () => {
    const before = createLargeFleet(100);
    const changes = [2, 3, 4].map((version) => ({
      version,
      id: `change-${version}`,
      author: "test",
      acceptedAt: 0,
      operations: [
        createPutOrganisation(
          createOrganisation("organisation-7", { weight: version }),
        ),
      ],
    }));
    const after = applyAcceptedChanges(before, changes);
    expect(after.version).to.equal(4);
    expect(after.organisations.get("organisation-7")?.weight).to.equal(4);
    expect(before.organisations.get("organisation-7")?.weight).to.equal(1);
    expect(after.services).to.equal(before.services);
  });
});

import { expect } from "chai";
import { describe, it } from "mocha";
import { OperationKind } from "./change.ts";
import { collectDifferences, PartChangeKind } from "./collect_differences.ts";
import {
  createPutZone,
  createSmallFleet,
  createZone,
} from "./testing/fixtures.ts";

describe("collectDifferences", () => {
  it("reports added, changed and removed parts and omits the rest", () => {
    const differences = collectDifferences([
      createPutZone(createZone("zone-a", { drained: true })),
      createPutZone(createZone("zone-b")),
      createPutZone(createZone("zone-c")),
      { kind: OperationKind.RemoveEndpoint, name: "captions-b1" },
    ], createSmallFleet());
    expect(differences.map(({ kind, subject }) => `${kind} ${subject}`))
      .to.deep.equal([
        'changed zone "zone-a"',
        'added zone "zone-c"',
        'removed endpoint "captions-b1"',
      ]);
    expect(differences[0]!.kind).to.equal(PartChangeKind.Changed);
    expect(differences[0]!.fields).to.deep.equal([
      { field: "drained", before: false, after: true },
    ]);
  });
});

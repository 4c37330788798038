import { expect } from "chai";
import { describe, it } from "mocha";
import type { Change } from "./change.ts";
import {
  decodeChange,
  decodeSnapshot,
  encodeChange,
  encodeSnapshot,
} from "./change_codec.ts";
import {
  createSmallFleet,
  createSmallFleetOperations,
} from "./testing/fixtures.ts";

function createChange(): Change {
  return {
    version: 1,
    id: "change-1",
    author: "test",
    acceptedAt: 5,
    operations: createSmallFleetOperations(),
  };
}

describe("the change codec", () => {
  it("decodes what it encoded", () => {
    const change = createChange();
    const decoded = decodeChange(encodeChange(change))._unsafeUnwrap();
    expect(decoded).to.deep.equal(change);
    const fleet = createSmallFleet();
    expect(decodeSnapshot(encodeSnapshot(fleet))._unsafeUnwrap())
      .to.deep.equal(fleet);
  });

  const { body } = encodeChange(createChange());
  const broken = [
    { title: "a cut text", version: 1, body: body.slice(0, -3) },
    { title: "another version's text", version: 2, body },
    {
      title: "an operation of a later program",
      version: 1,
      body: body.replace("putZone", "putRegion"),
    },
  ];
  for (const { title, ...encoded } of broken) {
    it(`rejects ${title} and names the change`, () => {
      const error = decodeChange(encoded)._unsafeUnwrapErr();
      expect(error.message).to.include(`change ${encoded.version}`);
    });
  }
});

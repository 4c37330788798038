import { expect } from "chai";
import { describe, it } from "mocha";
import { findWireWord } from "./wire_words.ts";

describe("findWireWord", () => {
  it("finds a name of the platform in any case", () => {
    const line = 'const seal = headers["server-seal"];';
    expect(findWireWord(line)).to.equal("Server-Seal");
  });

  it("passes the product's own words", () => {
    const line = "const objective = route.objectiveMilliseconds;";
    expect(findWireWord(line)).to.equal(undefined);
    expect(findWireWord('"rattanvane-attempt-id"')).to.equal(undefined);
  });
});

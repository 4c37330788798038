import { expect } from "chai";
import { describe, it } from "mocha";
import { findPlatformApiName } from "./wire_words.ts";

describe("findPlatformApiName", () => {
  it("finds a platform API name regardless of case", () => {
    const line = 'const seal = headers["server-seal"];';
    expect(findPlatformApiName(line)).to.equal("Server-Seal");
  });

  it("accepts the product's own names", () => {
    const line = "const objective = route.objectiveMilliseconds;";
    expect(findPlatformApiName(line)).to.equal(undefined);
    expect(findPlatformApiName('"rattanvane-attempt-id"')).to.equal(undefined);
  });
});

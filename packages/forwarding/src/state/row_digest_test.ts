import { expect } from "chai";
import { describe, it } from "mocha";
import { RowDigest } from "./row_digest.ts";

describe("RowDigest", () => {
  it("is equal for equal rows, in whatever order they were added and removed", () => {
    const first = new RowDigest();
    first.add("a", 1);
    first.add("b", 2);
    const second = new RowDigest();
    second.add("b", 2);
    second.add("c", 3);
    second.add("a", 1);
    second.remove("c", 3);
    expect(second.text).to.equal(first.text);
  });

  it("differs for another key, another version and a missing row", () => {
    const texts = new Set<string>();
    for (const [key, version] of [["a", 1], ["a", 2], ["b", 1]] as const) {
      const digest = new RowDigest();
      digest.add(key, version);
      texts.add(digest.text);
    }
    texts.add(new RowDigest().text);
    expect(texts.size).to.equal(4);
  });
});

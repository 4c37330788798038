import { expect } from "chai";
import { describe, it } from "mocha";
import { RowDigest } from "./row_digest.ts";

function buildRow(key: string, version: number, text = "") {
  return { key, version, value: new TextEncoder().encode(text) };
}

describe("RowDigest", () => {
  it("is equal for equal rows, in whatever order they were added and removed", () => {
    const first = new RowDigest();
    first.add(buildRow("a", 1));
    first.add(buildRow("b", 2));
    const second = new RowDigest();
    second.add(buildRow("b", 1));
    second.add(buildRow("b", 2));
    second.add(buildRow("c", 3));
    second.add(buildRow("a", 1));
    second.remove("c");
    expect(second.text).to.equal(first.text);
  });

  it("differs for another key, version or value and a missing row", () => {
    const rows = [
      buildRow("a", 1),
      buildRow("a", 2),
      buildRow("b", 1),
      buildRow("a", 1, "value"),
    ];
    const texts = new Set<string>([new RowDigest().text]);
    for (const row of rows) {
      const digest = new RowDigest(true);
      digest.add(row);
      texts.add(digest.text);
    }
    expect(texts.size).to.equal(5);
  });
});

import { expect } from "chai";
import { describe, it } from "mocha";
import { DemoReport } from "./demo_report.ts";

describe("demo report", () => {
  const kept = { promise: "a long promise", seen: "yes", kept: true };
  const broken = { promise: "b", seen: "no", kept: false };
  const cases = [
    { rows: [], isKept: false },
    { rows: [kept], isKept: true },
    { rows: [kept, broken, kept], isKept: false },
  ];
  for (const { rows, isKept } of cases) {
    it(`is ${isKept ? "" : "not "}kept with ${rows.length} rows`, () => {
      const report = new DemoReport(() => {});
      rows.forEach((row) => report.add(row));
      expect(report.isKept).to.equal(isKept);
    });
  }

  it("renders aligned columns", () => {
    const report = new DemoReport(() => {});
    report.add(kept);
    report.add(broken);
    expect(report.render().split("\n")).to.deep.equal([
      "promise         seen",
      "a long promise  yes   kept",
      "b               no    NOT KEPT",
    ]);
  });
});

/** Tests of the pure parts of the scenarios. */

import { expect } from "chai";
import {
  computePercentile,
  computeRatio,
  judgeFigure,
  TargetKind,
} from "./figure.ts";
import { formatReport } from "./figure_table.ts";
import {
  parseMetric,
  parseProcessorSeconds,
  parseResidentBytes,
} from "./process_usage.ts";
import { computeLargestGap } from "./windows.ts";

describe("bench figures", () => {
  it("are divided by their baseline", () => {
    const figure = { name: "used", unit: "fraction", value: 0.9 };
    expect(computeRatio({ ...figure, baseline: 0.3 })).to.be.closeTo(3, 1e-9);
    expect(computeRatio({ ...figure, baseline: 0 })).to.equal(undefined);
    expect(computeRatio(figure)).to.equal(undefined);
  });

  it("are judged by their target, and one that is missing fails", () => {
    const cases = [
      { kind: TargetKind.AtLeast, value: 0.97, kept: true },
      { kind: TargetKind.AtLeast, value: 0.96, kept: false },
      { kind: TargetKind.AtMost, value: 0.97, kept: true },
      { kind: TargetKind.AtMost, value: 0.98, kept: false },
      { kind: TargetKind.AtMost, value: NaN, kept: false },
    ];
    for (const { kind, value, kept } of cases) {
      const figure = { name: "", unit: "", value };
      expect(judgeFigure({ ...figure, target: { kind, value: 0.97 } }))
        .to.equal(kept);
      expect(judgeFigure(figure)).to.equal(undefined);
    }
  });

  it("find percentiles by rank", () => {
    const values = [4, 1, 3, 2];
    expect(computePercentile(values, 50)).to.equal(2);
    expect(computePercentile(values, 95)).to.equal(4);
    expect(computePercentile([], 50)).to.be.NaN;
  });

  it("are printed with ratio and verdict", () => {
    const target = { kind: TargetKind.AtLeast, value: 0.97 };
    const text = formatReport({
      scenario: "utilisation",
      baseline: "round robin",
      seed: 7,
      seconds: 20,
      figures: [
        { name: "used", unit: "fraction", value: 0.9, baseline: 0.3, target },
      ],
    });
    expect(text).to.contain("utilisation (seed 7, 20 s");
    expect(text).to.match(/used +fraction +0\.9 +0\.3 +3 +at least 0\.97 +NO$/);
  });
});

describe("bench windows", () => {
  it("find the widest gap, also where it changes sign", () => {
    const first = [5, 5, 9, 9, 5, 0];
    const second = [5, 5, 5, 5, 5, 7];
    const { gap, mean, fraction } = computeLargestGap({ first, second }, 2);
    expect(gap).to.equal(8);
    expect(mean).to.equal(14);
    expect(fraction).to.be.closeTo(8 / 14, 1e-9);
  });

  it("find nothing in series that are shorter than the window", () => {
    const { gap } = computeLargestGap({ first: [9], second: [0] }, 2);
    expect(gap).to.equal(0);
  });
});

describe("bench process usage", () => {
  it("reads processor time after a name with blanks and brackets", () => {
    const stat = `42 (a ) b) S ${"0 ".repeat(10)}150 50 0 0`;
    expect(parseProcessorSeconds(stat)).to.equal(2);
  });

  it("reads resident memory and metrics", () => {
    expect(parseResidentBytes("VmPeak:\t9 kB\nVmRSS:\t  100 kB\n"))
      .to.equal(102_400);
    const text = "# HELP sent_bytes x\nsent_bytes_total 9\nsent_bytes 4096\n";
    expect(parseMetric(text, "sent_bytes")).to.equal(4096);
    expect(parseMetric(text, "other")).to.be.NaN;
  });
});

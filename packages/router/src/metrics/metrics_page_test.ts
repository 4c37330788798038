import { readFileSync } from "node:fs";
import { ManualClock } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { createMetrics } from "../testing/fixtures.ts";
import { listPageRows } from "../testing/page_checks.ts";

const PAGE = "docs/operators/metrics.md";
const CELLS_PER_ROW = 6;

interface DescribedMetric {
  name: string;
  help: string;
  type: string;
  labelNames: string[];
}

function describeMetric(metric: DescribedMetric): string[] {
  const parts = metric.name.split("_");
  const unit = metric.name.endsWith("_total") ? parts.at(-2) : parts.at(-1);
  const labels = metric.labelNames.map((label) => `\`${label}\``);
  return [
    `\`${metric.name}\``,
    metric.type,
    labels.join(", ") || "-",
    unit ?? "",
    metric.help,
  ];
}

describe("the metrics page", () => {
  it("lists every metric with type, labels, unit and meaning", () => {
    const { registry } = createMetrics(new ManualClock());
    const metrics = registry.getMetricsAsArray() as unknown as (
      DescribedMetric[]
    );
    const expected = metrics.map(describeMetric)
      .sort((one, other) => String(one[0]) < String(other[0]) ? -1 : 1);
    const rows = listPageRows(readFileSync(PAGE, "utf8"));
    expect(rows.map((row) => row.slice(0, CELLS_PER_ROW - 1))).to.deep.equal(
      expected,
    );
    expect(
      rows.filter((row) => row.length !== CELLS_PER_ROW || row.at(-1) === ""),
    )
      .to.deep.equal([]);
  });
});

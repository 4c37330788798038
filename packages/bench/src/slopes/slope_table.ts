/** Prints slopes as a table. */

import { formatNumber, formatRows } from "../scenarios/figure_table.ts";
import { computeLine, type Slope } from "./slope.ts";

const PERCENT = 100;

/** Formats slopes: the points, the line and how straight it is. */
export function formatSlopes(slopes: readonly Slope[]): string {
  const headings = ["cost", "unit", "a", "slope", "fixed", "off", "points"];
  return formatRows([headings, ...slopes.map(formatSlope)]);
}

function formatSlope(slope: Slope): string[] {
  const line = computeLine(slope.points);
  const points = slope.points.map(({ size, value }) =>
    `${size}:${formatNumber(value)}`
  );
  return [
    slope.name,
    slope.unit,
    slope.sizeUnit,
    formatNumber(line.perUnit),
    formatNumber(line.fixed),
    `${formatNumber(line.largestDeviation * PERCENT)} %`,
    points.join(" "),
  ];
}

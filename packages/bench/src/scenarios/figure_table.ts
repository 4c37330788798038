/** Prints figures as a table. */

import {
  computeRatio,
  type Figure,
  judgeFigure,
  type ScenarioReport,
} from "./figure.ts";

const SIGNIFICANT_DIGITS = 4;
const HEADINGS = [
  "figure",
  "unit",
  "value",
  "baseline",
  "ratio",
  "target",
  "kept",
];

/** Formats one scenario's report. */
export function formatReport(report: ScenarioReport): string {
  const { scenario, baseline, seed, seconds, figures } = report;
  const heading = `${scenario} (seed ${seed}, ${seconds} s; ` +
    `baseline: ${baseline})`;
  return `${heading}\n${formatRows([HEADINGS, ...figures.map(formatFigure)])}`;
}

/** Formats rows as columns of equal width. */
export function formatRows(rows: readonly (readonly string[])[]): string {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map((row) => (row[column] ?? "").length))
  );
  return rows
    .map((row) =>
      row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ")
        .trimEnd()
    )
    .join("\n");
}

/** Formats a number with four significant digits; `-` when there is none. */
export function formatNumber(value: number | undefined): string {
  return value === undefined || Number.isNaN(value)
    ? "-"
    : String(Number(value.toPrecision(SIGNIFICANT_DIGITS)));
}

function formatFigure(figure: Figure): string[] {
  const { name, unit, value, baseline, target } = figure;
  const kept = judgeFigure(figure);
  return [
    name,
    unit,
    formatNumber(value),
    formatNumber(baseline),
    formatNumber(computeRatio(figure)),
    target === undefined ? "-" : `${target.kind} ${formatNumber(target.value)}`,
    kept === undefined ? "-" : kept ? "yes" : "NO",
  ];
}

/** Lays records out in columns. */

/** One row; the keys are the columns. */
export type TableRecord = Readonly<Record<string, unknown>>;

const GAP = "  ";

/** Formats records with a line of headings. */
export function formatTable(records: readonly TableRecord[]): string {
  const columns = [...new Set(records.flatMap((row) => Object.keys(row)))];
  const rows = [
    columns,
    ...records.map((row) => columns.map((column) => formatCell(row[column]))),
  ];
  const widths = columns.map((_, index) =>
    Math.max(...rows.map((row) => row[index]?.length ?? 0))
  );
  return rows.map((row) =>
    row.map((cell, index) => cell.padEnd(widths[index] ?? 0))
      .join(GAP).trimEnd()
  ).join("\n");
}

function formatCell(value: unknown): string {
  if (value === undefined || value === null) {
    return "-";
  }
  return typeof value === "object" ? JSON.stringify(value) : String(value);
}

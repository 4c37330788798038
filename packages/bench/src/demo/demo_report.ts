/** What the demo has seen, as a table. */

/** One promise and what was seen of it. */
export interface DemoRow {
  promise: string;
  seen: string;
  kept: boolean;
}

/** Collects rows and prints each as it comes. */
export class DemoReport {
  readonly #rows: DemoRow[] = [];
  readonly #print: (line: string) => void;

  constructor(print: (line: string) => void) {
    this.#print = print;
  }

  /** Whether every promise was kept, and there was at least one. */
  get isKept(): boolean {
    return this.#rows.length > 0 && this.#rows.every((row) => row.kept);
  }

  /** Tells what the demo does now. */
  announce(sentence: string): void {
    this.#print(`... ${sentence}`);
  }

  /** Adds a row. */
  add(row: DemoRow): void {
    this.#rows.push(row);
  }

  /** Renders all rows as a table. */
  render(): string {
    const cells = [
      ["promise", "seen", ""],
      ...this.#rows.map((row) => [
        row.promise,
        row.seen,
        row.kept ? "kept" : "NOT KEPT",
      ]),
    ];
    const widths = [0, 1, 2].map((column) =>
      Math.max(...cells.map((line) => (line[column] ?? "").length))
    );
    return cells
      .map((line) =>
        line.map((cell, column) => cell.padEnd(widths[column] ?? 0))
          .join("  ").trimEnd()
      )
      .join("\n");
  }
}

/** The captured output of a process. */

import { Emitter } from "@rattanvane/base";

const MAXIMUM_LINES = 200_000;
const MAXIMUM_OTHER_LINES = 200;

/** One JSON line. */
export interface LogLine {
  msg?: string;
  [field: string]: unknown;
}

/** Selects log lines by a part of the sentence and by fields. */
export interface LogQuery {
  /** A text that the sentence holds. */
  sentence?: string;
  /** Fields that must have these values. */
  fields?: Record<string, unknown>;
}

/** Keeps JSON lines for searches, and the last other lines for failures. */
export class ProcessLog {
  /** Tells of each JSON line as it comes. */
  readonly added = new Emitter<LogLine>();
  readonly #lines: LogLine[] = [];
  readonly #others: string[] = [];

  /** All JSON lines, the oldest first. */
  get lines(): readonly LogLine[] {
    return this.#lines;
  }

  /** The last lines that are not JSON. */
  get others(): readonly string[] {
    return this.#others;
  }

  /** Adds a line of output. */
  add(text: string): void {
    const line = parseLine(text);
    if (line === undefined) {
      this.#others.push(text);
      this.#others.splice(0, this.#others.length - MAXIMUM_OTHER_LINES);
      return;
    }
    if (this.#lines.length < MAXIMUM_LINES) {
      this.#lines.push(line);
    }
    this.added.emit(line);
  }

  /** The lines that match a query. */
  find(query: LogQuery): LogLine[] {
    return this.#lines.filter((line) => matchLine(line, query));
  }
}

/** Whether a line fits a query. */
export function matchLine(line: LogLine, query: LogQuery): boolean {
  const { sentence = "", fields = {} } = query;
  return (line.msg ?? "").includes(sentence) &&
    Object.entries(fields).every(([name, value]) => line[name] === value);
}

function parseLine(text: string): LogLine | undefined {
  if (!text.startsWith("{")) {
    return undefined;
  }
  try {
    return JSON.parse(text) as LogLine;
  } catch {
    return undefined;
  }
}

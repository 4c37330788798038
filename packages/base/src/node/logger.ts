/** Structured logs on standard output. */

import { pino } from "pino";

/** The fields of a log line. */
export type LogFields = Record<string, string | number | boolean | undefined>;

/** How much is logged. */
export enum LogLevel {
  Debug = "debug",
  Info = "info",
  Warn = "warn",
  Error = "error",
  Silent = "silent",
}

/** Writes short sentences with the fixed prefix of one part. */
export abstract class Logger {
  abstract debug(sentence: string, fields?: LogFields): void;
  abstract info(sentence: string, fields?: LogFields): void;
  abstract warn(sentence: string, fields?: LogFields): void;
  abstract error(sentence: string, fields?: LogFields): void;

  /** A logger of another part, with that part's prefix. */
  abstract forPart(part: string): Logger;
}

class PinoLogger extends Logger {
  readonly #pino: pino.Logger;
  readonly #part: string;

  constructor(target: pino.Logger, part: string) {
    super();
    this.#pino = target;
    this.#part = part;
  }

  override debug(sentence: string, fields: LogFields = {}): void {
    this.#pino.debug(fields, `${this.#part}: ${sentence}`);
  }

  override info(sentence: string, fields: LogFields = {}): void {
    this.#pino.info(fields, `${this.#part}: ${sentence}`);
  }

  override warn(sentence: string, fields: LogFields = {}): void {
    this.#pino.warn(fields, `${this.#part}: ${sentence}`);
  }

  override error(sentence: string, fields: LogFields = {}): void {
    this.#pino.error(fields, `${this.#part}: ${sentence}`);
  }

  override forPart(part: string): Logger {
    return new PinoLogger(this.#pino, part);
  }
}

/** Creates the process's logger; lines are JSON on standard output. */
export function createLogger(part: string, level: LogLevel): Logger {
  const target = pino({ level, base: undefined });
  return new PinoLogger(target, part);
}

const BUFFER_BYTES = 8 * 1024;
const MOST_HELD_BYTES = 4 * 1024 * 1024;
const FLUSH_MILLISECONDS = 500;

/**
 * Creates a logger that never blocks: lines are written in the background, and
 * dropped, with a count, when standard output is not read.
 */
export function createBufferedLogger(part: string, level: LogLevel): Logger {
  const destination = pino.destination({
    fd: 1,
    sync: false,
    minLength: BUFFER_BYTES,
    maxLength: MOST_HELD_BYTES,
  });
  const target = pino({ level, base: undefined }, destination);
  let dropped = 0;
  destination.on("drop", () => dropped++);
  destination.on("error", () => dropped++);
  const timer = setInterval(() => {
    if (dropped > 0) {
      target.warn({ dropped }, `${part}: log lines were dropped`);
      dropped = 0;
    }
    destination.flush();
  }, FLUSH_MILLISECONDS);
  timer.unref();
  return new PinoLogger(target, part);
}

/** Creates a logger that writes nothing, for tests and tools. */
export function createSilentLogger(): Logger {
  return createLogger("silent", LogLevel.Silent);
}

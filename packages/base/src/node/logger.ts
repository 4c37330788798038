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

/** Creates a logger that writes nothing, for tests and tools. */
export function createSilentLogger(): Logger {
  return createLogger("silent", LogLevel.Silent);
}

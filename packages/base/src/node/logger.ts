/** Structured logging to standard output. */

import { pino } from "pino";

/** Structured fields of a log line. */
export type LogFields = Record<string, string | number | boolean | undefined>;

/** The minimum severity that is logged. */
export enum LogLevel {
  Debug = "debug",
  Info = "info",
  Warn = "warn",
  Error = "error",
  Silent = "silent",
}

/** Writes log messages that are prefixed with the name of a component. */
export abstract class Logger {
  abstract debug(sentence: string, fields?: LogFields): void;
  abstract info(sentence: string, fields?: LogFields): void;
  abstract warn(sentence: string, fields?: LogFields): void;
  abstract error(sentence: string, fields?: LogFields): void;

  /** Creates a logger that uses another component's prefix. */
  abstract forPart(part: string): Logger;
}

class PinoLogger extends Logger {
  readonly #pino: pino.Logger;
  readonly #component: string;

  constructor(target: pino.Logger, part: string) {
    super();
    this.#pino = target;
    this.#component = part;
  }

  override debug(sentence: string, fields: LogFields = {}): void {
    this.#pino.debug(fields, `${this.#component}: ${sentence}`);
  }

  override info(sentence: string, fields: LogFields = {}): void {
    this.#pino.info(fields, `${this.#component}: ${sentence}`);
  }

  override warn(sentence: string, fields: LogFields = {}): void {
    this.#pino.warn(fields, `${this.#component}: ${sentence}`);
  }

  override error(sentence: string, fields: LogFields = {}): void {
    this.#pino.error(fields, `${this.#component}: ${sentence}`);
  }

  override forPart(part: string): Logger {
    return new PinoLogger(this.#pino, part);
  }
}

/** Creates a logger that synchronously writes JSON lines to standard output. */
export function createLogger(part: string, level: LogLevel): Logger {
  const target = pino({ level, base: undefined });
  return new PinoLogger(target, part);
}

const FLUSH_THRESHOLD_BYTES = 8 * 1024;
const MAXIMUM_BUFFERED_BYTES = 4 * 1024 * 1024;
const FLUSH_DELAY_MILLISECONDS = 500;

/** A logger whose lines are written some time after they were logged. */
export class BufferedLogger extends PinoLogger {
  readonly #flush: (callback: () => void) => void;

  constructor(
    target: pino.Logger,
    part: string,
    flush: (callback: () => void) => void,
  ) {
    super(target, part);
    this.#flush = flush;
  }

  /**
   * Writes the buffered lines and those that tasks log in this turn of the event
   * loop; gives up on a reader that is too slow.
   */
  async flush(timeoutMilliseconds: number): Promise<void> {
    await new Promise((resolve) => setImmediate(resolve));
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, timeoutMilliseconds);
      this.#flush(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
}

/**
 * Creates a non-blocking logger: lines are written asynchronously, at most half
 * a second after they were logged. When standard output is not drained, lines are
 * dropped and their number is logged.
 */
export function createBufferedLogger(
  part: string,
  level: LogLevel,
): BufferedLogger {
  const destination = pino.destination({
    fd: 1,
    sync: false,
    minLength: FLUSH_THRESHOLD_BYTES,
    maxLength: MAXIMUM_BUFFERED_BYTES,
  });
  let dropped = 0;
  let isFlushScheduled = false;
  const flush = () => {
    isFlushScheduled = false;
    if (dropped > 0) {
      const count = dropped;
      dropped = 0;
      target.warn({ dropped: count }, `${part}: log lines were dropped`);
    }
    destination.flush();
  };
  const write = (line: string) => {
    destination.write(line);
    if (!isFlushScheduled) {
      isFlushScheduled = true;
      setTimeout(flush, FLUSH_DELAY_MILLISECONDS).unref();
    }
  };
  destination.on("drop", () => dropped++);
  destination.on("error", () => dropped++);
  const target = pino({ level, base: undefined }, { write });
  return new BufferedLogger(target, part, (callback) => {
    destination.flush(() => callback());
  });
}

/** Creates a logger that discards all messages, for tests and tools. */
export function createSilentLogger(): Logger {
  return createLogger("silent", LogLevel.Silent);
}

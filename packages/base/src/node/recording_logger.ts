/** A logger that keeps its lines, for tests. */

import { type LogFields, Logger } from "./logger.ts";

/** Records the info lines of the log. */
export class RecordingLogger extends Logger {
  readonly lines: { sentence: string; fields: LogFields }[] = [];

  override debug(): void {}
  override warn(): void {}
  override error(): void {}

  override info(sentence: string, fields: LogFields = {}): void {
    this.lines.push({ sentence, fields });
  }

  override forPart(): Logger {
    return this;
  }
}

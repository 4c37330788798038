/** Errors of a YAML file that people write. */

import { ProductError } from "@rattanvane/base";

/** What is wrong in a file. */
export enum YamlFileErrorKind {
  /** The file could not be read at all. */
  Unreadable = "unreadable",
  /** The text is not YAML. */
  Malformed = "malformed",
  UnknownKey = "unknownKey",
  MissingKey = "missingKey",
  BadValue = "badValue",
}

/** Where and what a fault is. */
export interface YamlFileErrorOptions {
  kind: YamlFileErrorKind;
  file: string;
  /** Counted from 1; undefined where no line can be named. */
  line?: number | undefined;
  /** The path of keys, joined by dots; empty for the whole file. */
  key: string;
  problem: string;
  remedy: string;
  cause?: unknown;
}

/** A fault at one place of a file; the message starts with the place. */
export class YamlFileError extends ProductError<YamlFileErrorKind> {
  readonly file: string;
  readonly line: number | undefined;
  readonly key: string;

  constructor(options: YamlFileErrorOptions) {
    const place = options.line === undefined
      ? options.file
      : `${options.file}:${options.line}`;
    super({
      kind: options.kind,
      problem: `${place}: ${options.problem}`,
      remedy: options.remedy,
      cause: options.cause,
    });
    this.file = options.file;
    this.line = options.line;
    this.key = options.key;
  }
}

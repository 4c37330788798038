/** Errors in hand-written YAML files. */

import { ProductError } from "@rattanvane/base";

/** The kind of a YAML file error. */
export enum YamlFileErrorKind {
  /** The file could not be read. */
  Unreadable = "unreadable",
  /** The text is not valid YAML. */
  Malformed = "malformed",
  UnknownKey = "unknownKey",
  MissingKey = "missingKey",
  BadValue = "badValue",
}

/** Location and description of an error. */
export interface YamlFileErrorOptions {
  kind: YamlFileErrorKind;
  file: string;
  /** 1-based line number; undefined when the error has no line. */
  line?: number | undefined;
  /** The dot-separated key path; empty when the error concerns the whole file. */
  key: string;
  problem: string;
  remedy: string;
  cause?: unknown;
}

/** An error at a location in a file; the message starts with `file:line`. */
export class YamlFileError extends ProductError<YamlFileErrorKind> {
  readonly file: string;
  readonly line: number | undefined;
  readonly key: string;

  constructor(options: YamlFileErrorOptions) {
    const location = options.line === undefined
      ? options.file
      : `${options.file}:${options.line}`;
    super({
      kind: options.kind,
      problem: `${location}: ${options.problem}`,
      remedy: options.remedy,
      cause: options.cause,
    });
    this.file = options.file;
    this.line = options.line;
    this.key = options.key;
  }
}

/** Parses YAML by a schema and reports the location of each error. */

import { err, ok, type Result } from "neverthrow";
import { type Document, isNode, LineCounter, parseDocument } from "yaml";
import type { z } from "zod";
import { YamlFileError, YamlFileErrorKind } from "./yaml_file_error.ts";

/** Values are truncated to this length in error messages. */
const MAXIMUM_SHOWN_VALUE_CHARACTERS = 60;

/** Options for parsing a YAML file. */
export interface ParseYamlFileOptions<Schema extends z.ZodType> {
  schema: Schema;
  /** The file name used in error messages. */
  file: string;
  /** Top-level keys whose values must not appear in error messages. */
  secretKeys?: readonly string[];
}

interface ParsedSource {
  file: string;
  document: Document;
  lines: LineCounter;
  secretKeys: readonly string[];
}

/** Parses and validates YAML text; on failure, returns all errors by line. */
export function parseYamlFile<Schema extends z.ZodType>(
  text: string,
  options: ParseYamlFileOptions<Schema>,
): Result<z.output<Schema>, YamlFileError[]> {
  const lines = new LineCounter();
  const document = parseDocument(text, { lineCounter: lines });
  const source: ParsedSource = {
    file: options.file,
    document,
    lines,
    secretKeys: options.secretKeys ?? [],
  };
  if (document.errors.length > 0) {
    return err(listSyntaxErrors(source));
  }
  const parsed = options.schema.safeParse(document.toJS() ?? {});
  if (parsed.success) {
    return ok(parsed.data);
  }
  const errors = parsed.error.issues.flatMap((issue) =>
    convertIssue(issue, source)
  );
  errors.sort((first, second) => (first.line ?? 0) - (second.line ?? 0));
  return err(errors);
}

function listSyntaxErrors(source: ParsedSource): YamlFileError[] {
  return source.document.errors.map((error) =>
    new YamlFileError({
      kind: YamlFileErrorKind.Malformed,
      file: source.file,
      line: source.lines.linePos(error.pos[0]).line,
      key: "",
      problem: `Cannot parse the text as YAML: ${
        error.message.split("\n")[0]?.replace(/:$/, "")
      }`,
      remedy: "correct the line",
      cause: error,
    })
  );
}

function convertIssue(
  issue: z.core.$ZodIssue,
  source: ParsedSource,
): YamlFileError[] {
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) =>
      createUnknownKeyError([...issue.path, key], source)
    );
  }
  const key = formatKey(issue.path);
  const value = source.document.getIn(issue.path);
  const location = {
    file: source.file,
    line: findLine(issue.path, source),
    key,
  };
  if (value === undefined) {
    return [
      new YamlFileError({
        ...location,
        kind: YamlFileErrorKind.MissingKey,
        problem: `Cannot find the key "${key}"`,
        remedy: `add it; ${formatAccepted(issue)}`,
      }),
    ];
  }
  return [
    new YamlFileError({
      ...location,
      kind: YamlFileErrorKind.BadValue,
      problem: `Cannot accept ${formatValue(issue.path, source)} for "${key}"`,
      remedy: formatAccepted(issue),
    }),
  ];
}

function createUnknownKeyError(
  path: readonly PropertyKey[],
  source: ParsedSource,
): YamlFileError {
  const key = formatKey(path);
  return new YamlFileError({
    kind: YamlFileErrorKind.UnknownKey,
    file: source.file,
    line: findLine(path, source),
    key,
    problem: `Cannot accept the unknown key "${key}"`,
    remedy: "correct its spelling or remove it",
  });
}

function formatKey(path: readonly PropertyKey[]): string {
  return path.map(String).join(".");
}

function formatAccepted(issue: z.core.$ZodIssue): string {
  return `accepted is ${issue.message}`;
}

function formatValue(
  path: readonly PropertyKey[],
  source: ParsedSource,
): string {
  if (source.secretKeys.includes(String(path[0]))) {
    return "the value (hidden because it is a secret)";
  }
  const text = JSON.stringify(
    readPlainValue(path, source),
  ) ?? "nothing";
  if (text.length <= MAXIMUM_SHOWN_VALUE_CHARACTERS) {
    return text.startsWith('"') ? text : `"${text}"`;
  }
  return `"${text.slice(0, MAXIMUM_SHOWN_VALUE_CHARACTERS)}..."`;
}

function readPlainValue(
  path: readonly PropertyKey[],
  source: ParsedSource,
): unknown {
  const value = source.document.getIn(path);
  return isNode(value) ? value.toJS(source.document) : value;
}

/** Finds the line of a value or, if it is missing, of its closest ancestor. */
function findLine(
  path: readonly PropertyKey[],
  source: ParsedSource,
): number | undefined {
  for (let length = path.length; length >= 0; length--) {
    const node = source.document.getIn(path.slice(0, length), true);
    if (isNode(node) && node.range) {
      return source.lines.linePos(node.range[0]).line;
    }
  }
  return undefined;
}

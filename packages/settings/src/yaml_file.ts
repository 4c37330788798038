/** Reads YAML text by a schema and says where each fault is. */

import { err, ok, type Result } from "neverthrow";
import { type Document, isNode, LineCounter, parseDocument } from "yaml";
import type { z } from "zod";
import { YamlFileError, YamlFileErrorKind } from "./yaml_file_error.ts";

/** The longest part of a value that an error repeats, in characters. */
const SHOWN_VALUE_CHARACTERS = 60;

/** What a YAML file is read by. */
export interface ParseYamlFileOptions<Schema extends z.ZodType> {
  schema: Schema;
  /** The name that errors give. */
  file: string;
  /** Keys whose values errors must not repeat. */
  secretKeys?: readonly string[];
}

interface Source {
  file: string;
  document: Document;
  lines: LineCounter;
  secretKeys: readonly string[];
}

/** Reads the text; on failure, returns every fault that was found. */
export function parseYamlFile<Schema extends z.ZodType>(
  text: string,
  options: ParseYamlFileOptions<Schema>,
): Result<z.output<Schema>, YamlFileError[]> {
  const lines = new LineCounter();
  const document = parseDocument(text, { lineCounter: lines });
  const source: Source = {
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

function listSyntaxErrors(source: Source): YamlFileError[] {
  return source.document.errors.map((error) =>
    new YamlFileError({
      kind: YamlFileErrorKind.Malformed,
      file: source.file,
      line: source.lines.linePos(error.pos[0]).line,
      key: "",
      problem: `Cannot read the text as YAML: ${
        error.message.split("\n")[0]?.replace(/:$/, "")
      }`,
      remedy: "correct the line",
      cause: error,
    })
  );
}

function convertIssue(
  issue: z.core.$ZodIssue,
  source: Source,
): YamlFileError[] {
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) =>
      createUnknownKeyError([...issue.path, key], source)
    );
  }
  const key = formatKey(issue.path);
  const value = source.document.getIn(issue.path);
  const place = { file: source.file, line: findLine(issue.path, source), key };
  if (value === undefined) {
    return [
      new YamlFileError({
        ...place,
        kind: YamlFileErrorKind.MissingKey,
        problem: `Cannot find the key "${key}"`,
        remedy: `add it; ${formatAccepted(issue)}`,
      }),
    ];
  }
  return [
    new YamlFileError({
      ...place,
      kind: YamlFileErrorKind.BadValue,
      problem: `Cannot accept ${formatValue(issue.path, source)} for "${key}"`,
      remedy: formatAccepted(issue),
    }),
  ];
}

function createUnknownKeyError(
  path: readonly PropertyKey[],
  source: Source,
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

function formatValue(path: readonly PropertyKey[], source: Source): string {
  if (source.secretKeys.includes(String(path[0]))) {
    return "the value (not shown, as it is a secret)";
  }
  const text = JSON.stringify(
    readPlainValue(path, source),
  ) ?? "nothing";
  if (text.length <= SHOWN_VALUE_CHARACTERS) {
    return text.startsWith('"') ? text : `"${text}"`;
  }
  return `"${text.slice(0, SHOWN_VALUE_CHARACTERS)}..."`;
}

function readPlainValue(
  path: readonly PropertyKey[],
  source: Source,
): unknown {
  const value = source.document.getIn(path);
  return isNode(value) ? value.toJS(source.document) : value;
}

/** The line of the value or, where it is missing, of what should hold it. */
function findLine(
  path: readonly PropertyKey[],
  source: Source,
): number | undefined {
  for (let length = path.length; length >= 0; length--) {
    const node = source.document.getIn(path.slice(0, length), true);
    if (isNode(node) && node.range) {
      return source.lines.linePos(node.range[0]).line;
    }
  }
  return undefined;
}

import { readdirSync, readFileSync } from "node:fs";
import { expect } from "chai";
import { describe, it } from "mocha";
import { listPageRows, readSources } from "./testing/page_checks.ts";

const PAGE = readFileSync("docs/operators/logs.md", "utf8");

/** Packages that the page does not cover; test support has its own logs. */
const OTHER_PACKAGES = new Set(["base", "bench", "emulator", "tools"]);

const PART_PATTERN = /(?:forPart|createLogger)\("([a-z]+)"/g;

/** Matches level, sentence and the fields, if they are an inline literal. */
const LINE_PATTERN =
  /[lL]ogger\s*\.(debug|info|warn|error)\(\s*["`]([^"`]+)["`](?:,\s*\{([^}]*)\})?/g;

/** Matches the log lines of the dispatcher, which share a prefix and fields. */
const REQUEST_PATTERN = /this\.#log\(entry, "([^"]+)", \{([^}]*)\}/g;
const REQUEST_FIELDS = ["request", "organisation", "service"];

const FIELD_PATTERN = /(?:^|,)\s*(\w+)(?=\s*[:,]|\s*$)/g;

function listFields(text: string): string[] {
  return [...text.matchAll(FIELD_PATTERN)].map((match) => match[1] ?? "");
}

interface LoggedLine {
  level: string;
  sentence: string;
  /** Undefined unless they are an inline literal. */
  fields: string[] | undefined;
}

function listLines(source: string): LoggedLine[] {
  const lines = [...source.matchAll(LINE_PATTERN)].map((match) => ({
    level: match[1] ?? "",
    sentence: (match[2] ?? "").replace(/\$\{.*$/, "").trim(),
    fields: match[3] === undefined ? undefined : listFields(match[3]),
  }));
  const ofRequests = [...source.matchAll(REQUEST_PATTERN)].map((match) => ({
    level: "info",
    sentence: `request ${match[1]}`,
    fields: [...REQUEST_FIELDS, ...listFields(match[2] ?? "")],
  }));
  return [...lines, ...ofRequests]
    .filter(({ sentence }) => sentence !== "request");
}

/** Lists the sentence, level and fields of each row. */
function listRows(): string[][] {
  return listPageRows(PAGE)
    .map((row) => row.map((cell) => cell.replaceAll("`", "")));
}

describe("the logs page", () => {
  const sources = readdirSync("packages")
    .filter((name) => !OTHER_PACKAGES.has(name)).flatMap(readSources);

  it("has a section for each prefix and no other", () => {
    const parts = sources.flatMap((source) =>
      [...source.matchAll(PART_PATTERN)].map((match) => match[1])
    );
    const prefixes = [...PAGE.matchAll(/^## `([a-z]+):`/gm)]
      .map((match) => match[1]);
    expect(prefixes).to.deep.equal([...new Set(parts)].sort());
  });

  it("lists every line with its level and fields", () => {
    const rows = listRows();
    const listed = new Set(rows.flatMap(([sentence, level, fields]) => [
      `${level} ${sentence}`,
      `${level} ${sentence} (${fields})`,
    ]));
    const missing = sources.flatMap(listLines)
      .map(({ level, sentence, fields }) =>
        fields === undefined
          ? `${level} ${sentence}`
          : `${level} ${sentence} (${fields.join(", ")})`
      )
      .filter((line) => !listed.has(line));
    expect(missing).to.deep.equal([]);
  });

  it("lists no line that the code does not write", () => {
    const text = sources.join("\n");
    const unknown = listRows().map((row) => row[0] ?? "")
      .filter((sentence) => !text.includes(sentence.replace(/^request /, "")));
    expect(unknown).to.deep.equal([]);
  });
});

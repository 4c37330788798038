import { readdirSync, readFileSync } from "node:fs";
import type { Command } from "commander";
import { expect } from "chai";
import { describe, it } from "mocha";
import { createProgram } from "./program.ts";
import { createSilentEnvironment } from "./testing/memory_environment.ts";

const FOLDER = "docs/operators";

/** A command in a code block or between backticks. */
const COMMAND_PATTERN = /(?:`|^ {4}.*?)(rattanvane [a-z][^`\n]*)/gm;

interface Usage {
  page: string;
  text: string;
}

function listUsages(): Usage[] {
  return readdirSync(FOLDER).flatMap((page) =>
    [...readFileSync(`${FOLDER}/${page}`, "utf8").matchAll(COMMAND_PATTERN)]
      .map((match) => ({ page, text: match[1] ?? "" }))
  );
}

/** What is wrong with a command; undefined when it could be run. */
function findFault(program: Command, { page, text }: Usage) {
  const words = text.split(/\s+[|>#]/)[0]?.split(/\s+/).slice(1) ?? [];
  let command = program;
  let depth = 0;
  for (const word of words) {
    const next = command.commands.find((child) => child.name() === word);
    if (next === undefined) {
      break;
    }
    command = next;
    depth++;
  }
  const options = command.options.map((option) => option.long);
  const unknown = words.filter((word) => word.startsWith("--"))
    .filter((word) => !options.includes(word) && word !== "--version");
  const isLeaf = command.commands.length === 0;
  if (
    unknown.length > 0 || (depth === 0) || (!isLeaf && depth < words.length)
  ) {
    return `${page}: ${text}`;
  }
  return undefined;
}

describe("the operators' pages", () => {
  it("name only commands and options that exist", () => {
    const program = createProgram(createSilentEnvironment());
    const usages = listUsages();
    expect(usages).to.not.have.lengthOf(0);
    const faults = usages.map((usage) => findFault(program, usage))
      .filter((fault) => fault !== undefined);
    expect(faults).to.deep.equal([]);
  });
});

import { readFileSync } from "node:fs";
import type { Command } from "commander";
import { expect } from "chai";
import { describe, it } from "mocha";
import { ExitCode } from "./exit_code.ts";
import { createProgram } from "./program.ts";
import { createSilentEnvironment } from "./testing/memory_environment.ts";

const PAGE = "docs/operators/command-line.md";

/** Commands that do something, with the words that lead to them. */
function listLeaves(
  command: Command,
  path: string[] = [command.name()],
): { usage: string; command: Command }[] {
  if (command.commands.length === 0) {
    const words = command.registeredArguments.map((argument) =>
      `<${argument.name()}${argument.variadic ? "..." : ""}>`
    );
    return [{ usage: [...path, ...words].join(" "), command }];
  }
  return command.commands.flatMap((child) =>
    listLeaves(child, [...path, child.name()])
  );
}

function parseSections(page: string): Map<string, string> {
  const sections = page.split(/^### /m).slice(1);
  return new Map(sections.map((section) => {
    const usage = /^`([^`]+)`/.exec(section)?.[1] ?? "";
    return [usage, section.replaceAll(/\s+/g, " ")];
  }));
}

describe("the command-line page", () => {
  const page = readFileSync(PAGE, "utf8");
  const sections = parseSections(page);
  const leaves = listLeaves(createProgram(createSilentEnvironment()));

  it("has a section for each command and no other", () => {
    expect([...sections.keys()])
      .to.deep.equal(leaves.map(({ usage }) => usage));
  });

  it("describes each command and its options in the help's words", () => {
    for (const { command, usage } of leaves) {
      const section = sections.get(usage) ?? "";
      expect(section.toLowerCase()).to.include(
        command.description().toLowerCase(),
      );
      const options = [...section.matchAll(/\| `([^`]+)` \| ([^|]+) \|/g)]
        .map((match) => [match[1], match[2]]);
      expect(options, usage).to.deep.equal(
        command.options.map((option) => [option.flags, option.description]),
      );
    }
  });

  it("names each exit code", () => {
    const codes = [...page.matchAll(/^\| (\d) /gm)].map((match) =>
      Number(match[1])
    );
    const expected = Object.values(ExitCode).filter((code) =>
      typeof code === "number"
    );
    expect(codes).to.deep.equal(expected);
  });

  it("is matched by an example in each command's help", () => {
    for (const { command, usage } of leaves) {
      let help = "";
      command.configureOutput({
        writeOut: (text) => {
          help += text;
        },
      });
      command.outputHelp();
      expect(help, usage).to.include(`Example:\n  ${usage.split(" <")[0]}`);
    }
  });
});

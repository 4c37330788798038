import { readdirSync, readFileSync } from "node:fs";
import { ConfigurationErrorKind } from "@rattanvane/configuration";
import { KeyError, KeyErrorKind } from "@rattanvane/once";
import {
  EndpointError,
  EndpointErrorKind,
  PlatformError,
  PlatformErrorKind,
} from "@rattanvane/platform";
import {
  MessageKind,
  ProtocolError,
  ProtocolErrorKind,
  RefusalReason,
} from "@rattanvane/protocol";
import { YamlFileErrorKind } from "@rattanvane/settings";
import { expect } from "chai";
import { describe, it } from "mocha";
import { convertRefusal } from "../ingress/refusal.ts";
import { createEntry, createIngress, POOL } from "../testing/fixtures.ts";
import { listCallerErrors } from "./caller_error.ts";

const PAGE = readFileSync("docs/operators/errors.md", "utf8");

/** The cells of the table below a heading. */
function readRows(heading: string): string[][] {
  const section = PAGE.split(/^## /m)
    .find((text) => text.startsWith(`${heading}\n`)) ?? "";
  return section.split("\n").filter((line) => line.startsWith("| `"))
    .map((line) => line.split("|").slice(1, -1).map((cell) => cell.trim()));
}

/** Matches of the first group in the sources, without tests. */
function findInSources(folder: string, pattern: RegExp): string[] {
  const found = readdirSync(folder, { recursive: true, encoding: "utf8" })
    .filter((file) => file.endsWith(".ts") && !/_test\.ts$|testing/.test(file))
    .flatMap((file) => [
      ...readFileSync(`${folder}/${file}`, "utf8").matchAll(pattern),
    ]);
  return [...new Set(found.map((match) => match[1] ?? ""))].sort();
}

function listKinds(heading: string): string[] {
  return readRows(heading).map((row) => row[0]?.replaceAll("`", "") ?? "");
}

describe("the errors page", () => {
  it("lists every error of callers with status, outcome and remedy", () => {
    const expected = listCallerErrors().map((error) => [
      `\`${error.kind}\``,
      String(error.status),
      error.outcomes.map((outcome) => `\`${outcome}\``).join(", "),
      error.meaning,
      error.remedy,
    ]);
    expect(readRows("Callers")).to.deep.equal(expected);
  });

  const tables = [
    {
      heading: "Keys",
      errors: Object.values(KeyErrorKind)
        .map((kind) => new KeyError(kind, "key")),
    },
    {
      heading: "Platform",
      errors: Object.values(PlatformErrorKind)
        .map((kind) => new PlatformError(kind, "")),
    },
    {
      heading: "Endpoints",
      errors: Object.values(EndpointErrorKind)
        .map((kind) => new EndpointError(kind, "")),
    },
    {
      heading: "Control port",
      errors: Object.values(ProtocolErrorKind)
        .map((kind) => new ProtocolError(kind, "")),
    },
  ];
  for (const { heading, errors } of tables) {
    it(`lists every kind below "${heading}" with its remedy`, () => {
      expect(readRows(heading).map((row) => [row[0], row[2]])).to.deep.equal(
        errors.map(({ kind, remedy }) => [`\`${kind}\``, remedy]),
      );
    });
  }

  const files = [
    {
      heading: "Configuration",
      folder: "packages/configuration/src",
      kinds: Object.values(ConfigurationErrorKind),
    },
    {
      heading: "Settings and forms",
      folder: "packages/settings/src",
      kinds: Object.values(YamlFileErrorKind),
    },
    {
      heading: "Command line",
      folder: "packages/cli/src",
      kinds: findInSources(
        "packages/cli/src",
        /new ProductError\(\{\s*kind: "(\w+)"/g,
      ),
    },
  ];
  for (const { heading, folder, kinds } of files) {
    it(`lists every kind below "${heading}", and each fixed remedy`, () => {
      expect(listKinds(heading)).to.have.members(kinds);
      const remedies = files.flatMap((file) => readRows(file.heading))
        .map((row) => row[2]).join("; ");
      const fixed = findInSources(folder, /remedy: "([^"]+)",\n/g);
      expect(fixed.filter((remedy) => !remedies.includes(remedy)))
        .to.deep.equal([]);
    });
  }
});

describe("refusals", () => {
  for (const reason of Object.values(RefusalReason)) {
    it(`tell after ${reason} whether an attempt may have run`, () => {
      const entry = createEntry(createIngress());
      const outcomes = [0, 1].map((attemptsMade) => {
        entry.attemptsMade = attemptsMade;
        return convertRefusal({
          kind: MessageKind.Refuse,
          pool: POOL,
          request: entry.call.request,
          reason,
          retryAfterMilliseconds: 0,
        }, entry);
      });
      const kind = outcomes[0]?.kind;
      const described = listCallerErrors().find((one) => one.kind === kind);
      expect(outcomes.map(({ outcome }) => outcome))
        .to.deep.equal(described?.outcomes);
    });
  }
});

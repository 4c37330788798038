import { readFileSync } from "node:fs";
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
import { listPageRows, readSources } from "../testing/page_checks.ts";
import { listCallerErrors } from "./caller_error.ts";

const PAGE = readFileSync("docs/operators/errors.md", "utf8");

/** Reads the table cells of the section with the given heading. */
function readRows(heading: string): string[][] {
  const section = PAGE.split(/^## /m)
    .find((text) => text.startsWith(`${heading}\n`)) ?? "";
  return listPageRows(section);
}

/** Collects the distinct matches of a first group in a package, sorted. */
function findInSources(packageName: string, pattern: RegExp): string[] {
  const found = readSources(packageName)
    .flatMap((source) => [...source.matchAll(pattern)]);
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
      packageName: "configuration",
      kinds: Object.values(ConfigurationErrorKind),
    },
    {
      heading: "Settings and forms",
      packageName: "settings",
      kinds: Object.values(YamlFileErrorKind),
    },
    {
      heading: "Command line",
      packageName: "cli",
      kinds: findInSources(
        "cli",
        /new ProductError\(\{\s*kind: "(\w+)"/g,
      ),
    },
  ];
  for (const { heading, packageName, kinds } of files) {
    it(`lists every kind below "${heading}", and each fixed remedy`, () => {
      expect(listKinds(heading)).to.have.members(kinds);
      const remedies = files.flatMap((file) => readRows(file.heading))
        .map((row) => row[2]).join("; ");
      const fixed = findInSources(packageName, /remedy: "([^"]+)",\n/g);
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

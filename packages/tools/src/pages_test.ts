import { readdirSync, readFileSync } from "node:fs";
import { expect } from "chai";
import { describe, it } from "mocha";
import { LAYERS, TEST_ONLY_PACKAGES } from "./layers.ts";
import { listSourceFiles } from "./source_files.ts";

const OPERATORS_FOLDER = "docs/operators";
const CLAIM_PATTERN = /`(\w+_test\.ts)`: "([^"]+)"/g;
const METRIC_PATTERN = /\brattanvane_[a-z_]+/g;
const DERIVED_SERIES = /_(bucket|sum|count)$/;

function readPage(name: string): string {
  return readFileSync(`${OPERATORS_FOLDER}/${name}`, "utf8");
}

function listPages(): string[] {
  return readdirSync(OPERATORS_FOLDER).filter((name) => name.endsWith(".md"));
}

/** Returns the concatenated sources of all test files with a name. */
function readTests(name: string): string {
  return listSourceFiles().filter((file) => file.endsWith(`/${name}`))
    .map((file) => readFileSync(file, "utf8")).join("\n");
}

function listArchitectureRows(section: string): string[][] {
  return section.split("\n").filter((line) => line.startsWith("| `"))
    .map((line) => line.split("|").slice(1, 3).map((cell) => cell.trim()));
}

function describePackage(name: string): string[] {
  const text = readFileSync(`packages/${name}/package.json`, "utf8");
  return [`\`${name}\``, JSON.parse(text).description];
}

describe("the outages page", () => {
  it("refers only to existing tests", () => {
    const claims = [...readPage("outages.md").matchAll(CLAIM_PATTERN)];
    expect(claims).to.not.have.lengthOf(0);
    const unknown = claims
      .filter(([, file, title]) => !readTests(file ?? "").includes(title ?? ""))
      .map(([claim]) => claim);
    expect(unknown).to.deep.equal([]);
  });

  it("refers to a test for each claim", () => {
    const unreferenced = readPage("outages.md").split("\n")
      .filter((line) => /^\| (?!what|-)/.test(line))
      .filter((line) => line.match(CLAIM_PATTERN) === null);
    expect(unreferenced).to.deep.equal([]);
  });
});

describe("the operators' pages", () => {
  it("mention only metrics that the metrics page lists", () => {
    const listed = new Set(readPage("metrics.md").match(METRIC_PATTERN));
    const unknown = listPages()
      .flatMap((page) => readPage(page).match(METRIC_PATTERN) ?? [])
      .filter((name) => !listed.has(name))
      .filter((name) => !listed.has(name.replace(DERIVED_SERIES, "")));
    expect(unknown).to.deep.equal([]);
  });

  it("are all listed in the index", () => {
    const links = [...readPage("README.md").matchAll(/\]\(([a-z-]+\.md)\)/g)]
      .map((match) => match[1]);
    expect(links).to.have.members(
      listPages().filter((page) => page !== "README.md"),
    );
  });
});

describe("the architecture page", () => {
  it("lists the packages in layer order with their descriptions", () => {
    const page = readFileSync("docs/architecture.md", "utf8");
    const section = page.split(/^## /m)
      .find((text) => text.startsWith("Packages\n")) ?? "";
    const [product = "", support = ""] = section.split(
      "\nTest support",
    );
    const names = LAYERS.flat();
    expect(names).to.have.members(readdirSync("packages"));
    expect(listArchitectureRows(product)).to.deep.equal(
      names.filter((name) => !TEST_ONLY_PACKAGES.has(name)).map(
        describePackage,
      ),
    );
    expect(listArchitectureRows(support)).to.deep.equal(
      names.filter((name) => TEST_ONLY_PACKAGES.has(name)).map(describePackage),
    );
  });
});

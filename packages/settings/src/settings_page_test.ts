import { readFileSync } from "node:fs";
import { expect } from "chai";
import { describe, it } from "mocha";
import { listSettings, type SettingDescription } from "./list_settings.ts";

const PAGE = "docs/operators/settings.md";
const ROW_PATTERN = /^\|\s*`([^`]+)`\s*\|([^|]*)\|([^|]*)\|([^|]*)\|$/gm;

function formatDefault(setting: SettingDescription): string {
  if (setting.defaultValue !== undefined) {
    return `\`${setting.defaultValue}\``;
  }
  return setting.required ? "required" : "none";
}

describe("the settings page", () => {
  it("lists every setting with its unit, default and description", () => {
    const page = readFileSync(PAGE, "utf8");
    const rows = [...page.matchAll(ROW_PATTERN)].map((match) =>
      match.slice(1).map((cell) => cell.trim())
    );
    const expected = listSettings().map((setting) => [
      setting.key,
      setting.unit === "" ? "-" : setting.unit,
      formatDefault(setting),
      setting.description,
    ]);
    expect(rows).to.deep.equal(expected);
  });
});

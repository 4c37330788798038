import { expect } from "chai";
import { describe, it } from "mocha";
import { listSettings } from "./list_settings.ts";
import { loadSettings, parseSettings } from "./load_settings.ts";
import { YamlFileErrorKind } from "./yaml_file_error.ts";

const FILE = "vm-a1.yaml";

const MINIMAL_SETTINGS = [
  "vm: vm-a1",
  "zone: zone-a",
  "region: region-1",
  "listen: { host: 127.0.0.1, callerPort: 8080, controlPort: 9080 }",
  'platform: { url: "http://127.0.0.1:7000" }',
  "fleetKeys: [0123456789abcdef0123456789abcdef]",
];

/** Builds minimal settings text, with lines added and some top-level keys omitted. */
function createText(
  options: { add?: string[]; without?: string[] } = {},
): string {
  const without = options.without ?? [];
  const kept = MINIMAL_SETTINGS.filter((line) =>
    !without.some((key) => line.startsWith(`${key}:`))
  );
  return [...kept, ...(options.add ?? [])].join("\n");
}

describe("parseSettings", () => {
  it("applies defaults to all settings but the identity", () => {
    const settings = parseSettings(createText(), FILE)._unsafeUnwrap();
    expect(settings.advertise).to.deep.equal(settings.listen);
    expect(settings.membership.probePeriodMilliseconds).to.equal(200);
    expect(settings.log.level).to.equal("info");
    expect(settings.seed).to.equal(undefined);
    expect(settings.peers).to.deep.equal([]);
  });

  it("ignores the local VM in the list of peers", () => {
    const peers = ["vm-a1", "vm-a2"].map((vm) =>
      `  - { vm: ${vm}, zone: zone-a, host: 127.0.0.1, ` +
      "controlPort: 9080, callerPort: 8080 }"
    );
    const text = createText({ add: ["peers:", ...peers] });
    const settings = parseSettings(text, FILE)._unsafeUnwrap();
    expect(settings.peers.map((peer) => peer.vm)).to.deep.equal(["vm-a2"]);
  });

  const cases = [
    {
      title: "an unknown key",
      text: createText({ add: ["limits: { bodyByte: 5 }"] }),
      line: 7,
      key: "limits.bodyByte",
      kind: YamlFileErrorKind.UnknownKey,
      says: ['"limits.bodyByte"', "spelling"],
    },
    {
      title: "a missing key",
      text: createText({ without: ["zone"] }),
      line: 1,
      key: "zone",
      kind: YamlFileErrorKind.MissingKey,
      says: ['"zone"', "lower-case letters"],
    },
    {
      title: "a missing section",
      text: createText({ without: ["listen"] }),
      line: 1,
      key: "listen",
      kind: YamlFileErrorKind.MissingKey,
      says: ["host, callerPort, controlPort"],
    },
    {
      title: "a value out of range",
      text: createText({ add: ["once:", "  batchMilliseconds: 1001"] }),
      line: 8,
      key: "once.batchMilliseconds",
      kind: YamlFileErrorKind.BadValue,
      says: ['"1001"', "from 0 to 1000"],
    },
    {
      title: "a value of the wrong type",
      text: createText({ add: ["shutdown: { longestMilliseconds: soon }"] }),
      line: 7,
      key: "shutdown.longestMilliseconds",
      kind: YamlFileErrorKind.BadValue,
      says: ['"soon"', "a whole number"],
    },
    {
      title: "a host name where an IP address is required",
      text: createText({
        add: ["advertise: { host: vm, callerPort: 1, controlPort: 2 }"],
      }),
      line: 7,
      key: "advertise.host",
      kind: YamlFileErrorKind.BadValue,
      says: ['"vm"', "IPv4 or IPv6"],
    },
    {
      title: "an unknown log level",
      text: createText({ add: ["log: { level: loud }"] }),
      line: 7,
      key: "log.level",
      kind: YamlFileErrorKind.BadValue,
      says: ['"loud"', "debug, info, warn, error, silent"],
    },
    {
      title: "two equal ports",
      text: createText({
        without: ["listen"],
        add: ["listen: { host: 127.0.0.1, callerPort: 80, controlPort: 80 }"],
      }),
      line: 6,
      key: "listen.controlPort",
      kind: YamlFileErrorKind.BadValue,
      says: ['"80"', "another port"],
    },
    {
      title: "text that is not valid YAML",
      text: createText({ add: ["log: { level: info"] }),
      line: 7,
      key: "",
      kind: YamlFileErrorKind.Malformed,
      says: ["as YAML"],
    },
    {
      title: "a duplicate key",
      text: createText({ add: ["zone: zone-b"] }),
      line: 7,
      key: "",
      kind: YamlFileErrorKind.Malformed,
      says: ["unique"],
    },
  ];
  for (const testCase of cases) {
    it(`rejects ${testCase.title}, with file, line, key and remedy`, () => {
      const errors = parseSettings(testCase.text, FILE)._unsafeUnwrapErr();
      expect(errors).to.have.length(1);
      const error = errors[0]!;
      expect(error.message).to.match(new RegExp(`^${FILE}:${testCase.line}: `));
      expect(error).to.include({ key: testCase.key, kind: testCase.kind });
      for (const words of testCase.says) {
        expect(error.message).to.include(words);
      }
    });
  }

  it("returns all errors at once, ordered by line", () => {
    const text = createText({
      without: ["vm"],
      add: ["seed: -1", "log: { level: 3 }", "more: 1"],
    });
    const errors = parseSettings(text, FILE)._unsafeUnwrapErr();
    expect(errors.map((error) => error.key)).to.deep.equal([
      "vm",
      "seed",
      "log.level",
      "more",
    ]);
  });

  it("never reveals a fleet key in an error", () => {
    const text = createText({
      without: ["fleetKeys"],
      add: ["fleetKeys: [a-short-secret]"],
    });
    const errors = parseSettings(text, FILE)._unsafeUnwrapErr();
    expect(errors[0]!.key).to.equal("fleetKeys.0");
    expect(errors[0]!.message).to.not.include("a-short-secret");
  });
});

describe("loadSettings", () => {
  it("names a file that cannot be read", () => {
    const errors = loadSettings("missing.yaml")._unsafeUnwrapErr();
    expect(errors[0]!.kind).to.equal(YamlFileErrorKind.Unreadable);
    expect(errors[0]!.message).to.include('"missing.yaml"');
  });
});

describe("listSettings", () => {
  it("gives each setting a description", () => {
    const undescribed = listSettings().filter((setting) =>
      setting.description === ""
    );
    expect(undescribed).to.deep.equal([]);
  });

  it("gives unit and default", () => {
    const setting = listSettings().find((listed) =>
      listed.key === "scheduling.leaseMilliseconds"
    );
    expect(setting).to.include({ unit: "ms", defaultValue: "6000" });
  });
});

import { createHash } from "node:crypto";
import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import { ExitCode } from "./exit_code.ts";
import { MemoryCommandLine } from "./testing/memory_environment.ts";
import { TemporaryFolder } from "./testing/temporary_folder.ts";

let line: MemoryCommandLine;
let folder: TemporaryFolder;

/** Applies the empty form's examples: zone-a, two services, one bakery. */
async function applyForm(): Promise<string> {
  const form = (await line.run("questionnaire")).output;
  const file = folder.write("bakery.yaml", form);
  const change = folder.find("change.yaml");
  const generate = ["configuration", "generate", file, "--output", change];
  expect((await line.runOnPlatform(...generate)).exitCode).to.equal(0);
  const applied = await line.runOnPlatform("configuration", "apply", change);
  expect(applied.output).to.include("Accepted as version 1");
  return file;
}

async function readVersion(): Promise<number> {
  const shown = await line.runOnPlatform("configuration", "show", "--json");
  return JSON.parse(shown.output).version;
}

describe("command line", () => {
  beforeEach(() => {
    line = new MemoryCommandLine();
    folder = new TemporaryFolder();
  });

  afterEach(() => folder.remove());

  it("takes a team from its form to an accepted configuration", async () => {
    const form = await applyForm();
    const shown = await line.runOnPlatform("configuration", "show");
    expect(shown.output).to.include("name: example-bakery");
    const again = await line.runOnPlatform("configuration", "generate", form);
    expect(again.output).to.include("operations: []");
    expect(again.errors).to.equal("");
  });

  it("shows what was changed by hand when it generates again", async () => {
    const form = await applyForm();
    await line.runOnPlatform("organisation", "key", "example-bakery");
    const again = await line.runOnPlatform("configuration", "generate", form);
    expect(again.exitCode).to.equal(ExitCode.Ok);
    expect(again.errors).to.include(
      'organisation "example-bakery", keyHashes: changed by hand since',
    );
    expect(again.output).to.include("operations: []");
  });

  it("applies an empty change without a new version", async () => {
    const form = await applyForm();
    const change = folder.find("again.yaml");
    const words = ["configuration", "generate", form, "--output", change];
    await line.runOnPlatform(...words);
    const applied = await line.runOnPlatform("configuration", "apply", change);
    expect(applied.output).to.include("Nothing to change at version 1");
    expect(await readVersion()).to.equal(1);
  });

  it("refuses a change that was made for an older version", async () => {
    await applyForm();
    await line.runOnPlatform("zone", "drain", "zone-a");
    const change = folder.find("change.yaml");
    for (const command of ["check", "apply"]) {
      const run = await line.runOnPlatform("configuration", command, change);
      expect(run.exitCode).to.equal(ExitCode.Conflict);
      expect(run.errors).to.include('version 2 by "olu" did put zone "zone-a"');
    }
  });

  it("tells all faults of a change and changes nothing", async () => {
    await applyForm();
    const change = folder.write(
      "bad.yaml",
      [
        "madeForVersion: 1",
        "operations:",
        "  - { kind: removeZone, name: zone-a }",
        "  - { kind: removeEndpoint, name: nobody }",
      ].join("\n"),
    );
    const run = await line.runOnPlatform("configuration", "apply", change);
    expect(run.exitCode).to.equal(ExitCode.Invalid);
    expect(run.errors.trim().split("\n")).to.have.length(3);
    expect(await readVersion()).to.equal(1);
  });

  it("drains and returns a zone, and says when nothing changes", async () => {
    await applyForm();
    const drained = await line.runOnPlatform("zone", "drain", "zone-a");
    expect(drained.output).to.include("drained: false -> true");
    const again = await line.runOnPlatform("zone", "drain", "zone-a");
    expect(again.output).to.include("Nothing to change at version 2");
    await line.runOnPlatform("zone", "return", "zone-a");
    expect(await readVersion()).to.equal(3);
  });

  it("drains an endpoint though another change comes first", async () => {
    await applyForm();
    line.beforeWrite = async () => {
      await line.runOnPlatform("zone", "drain", "zone-a");
    };
    const words = ["endpoint", "drain", "captions-a1", "--json"];
    const run = await line.runOnPlatform(...words);
    expect(JSON.parse(run.output)).to.include({ version: 3 });
    const only = ["configuration", "show", "--json", "--only", "zones"];
    const shown = JSON.parse((await line.runOnPlatform(...only)).output);
    expect(shown.zones[0].drained).to.equal(true);
  });

  it("changes nothing on a dry run", async () => {
    await applyForm();
    const commands = [
      ["zone", "drain", "zone-a"],
      ["endpoint", "drain", "captions-a1"],
      ["organisation", "add", "camp", "--service", "captions"],
      ["organisation", "remove", "example-bakery"],
      ["organisation", "key", "example-bakery"],
    ];
    for (const words of commands) {
      const run = await line.runOnPlatform(...words, "--dry-run");
      expect(run.exitCode).to.equal(ExitCode.Ok);
      expect(run.output).to.include("Dry run: nothing was changed");
      expect(run.output).to.not.include("rv-key");
    }
    expect(await readVersion()).to.equal(1);
  });

  it("prints a new key once and stores only its hash", async () => {
    await applyForm();
    const words = ["organisation", "key", "example-bakery", "--json"];
    const { hash, key } = JSON.parse(
      (await line.runOnPlatform(...words)).output,
    );
    expect(hash).to.equal(createHash("sha256").update(key).digest("hex"));
    const shown = (await line.runOnPlatform("configuration", "show")).output;
    expect(shown).to.include(hash).and.to.not.include(key);
    const removal = ["--remove", hash.slice(0, 8)];
    await line.runOnPlatform(...words, ...removal);
    const after = (await line.runOnPlatform("configuration", "show")).output;
    expect(after).to.not.include(hash);
  });

  it("does not guess which key to remove", async () => {
    await applyForm();
    const words = ["organisation", "key", "example-bakery", "--remove", "00"];
    const run = await line.runOnPlatform(...words);
    expect(run.exitCode).to.equal(ExitCode.Invalid);
  });

  it("lists who did what", async () => {
    await applyForm();
    await line.runOnPlatform("zone", "drain", "zone-a", "--author", "ada");
    const words = ["configuration", "history", "--limit", "1"];
    const { output } = await line.runOnPlatform(...words);
    expect(output).to.match(/^2 {2}\S+ {2}ada {2}id-/);
    expect(output).to.include('put zone "zone-a"');
    expect(output).to.not.include("endpoint");
  });

  it("recognises its change when the platform's answer was lost", async () => {
    await applyForm();
    line.faults.lostAnswers = 1;
    const run = await line.runOnPlatform("zone", "drain", "zone-a");
    expect(run.exitCode).to.equal(ExitCode.Ok);
    expect(await readVersion()).to.equal(2);
  });

  it("says that the outcome is unknown, with the change's id", async () => {
    await applyForm();
    line.faults.lostAnswers = 1;
    line.beforeWrite = () => {
      setImmediate(() => {
        line.faults.outage = true;
      });
      return Promise.resolve();
    };
    const run = await line.runOnPlatform("zone", "drain", "zone-a");
    expect(run.exitCode).to.equal(ExitCode.OutcomeUnknown);
    expect(run.errors).to.match(/id "id-\d+"/);
  });

  it("says that the platform is not there", async () => {
    line.faults.outage = true;
    const run = await line.runOnPlatform("configuration", "show", "--json");
    expect(run.exitCode).to.equal(ExitCode.Unavailable);
    expect(JSON.parse(run.output).errors[0].kind)
      .to.equal("platformUnavailable");
  });

  it("tells what it waits for after a second", async () => {
    line.faults.delayMilliseconds = 1_500;
    const run = await line.runOnPlatform("configuration", "show");
    expect(run.errors).to.include("still reading the configuration");
    line.faults.delayMilliseconds = 400;
    const fast = await line.runOnPlatform("configuration", "show");
    expect(fast.errors).to.equal("");
  });

  const usages = [
    { title: "an unknown command", words: ["zones"] },
    { title: "an unknown option", words: ["status", "--all"] },
    { title: "a missing argument", words: ["zone", "drain"] },
    { title: "no platform", words: ["configuration", "show"] },
    { title: "no VM", words: ["status"] },
    {
      title: "a limit out of range",
      words: ["configuration", "history", "--limit", "0"],
    },
    {
      title: "a platform that is no URL",
      words: ["configuration", "show", "--platform", "here"],
    },
  ];
  for (const { title, words } of usages) {
    it(`ends with the usage code on ${title}`, async () => {
      const run = await line.run(...words);
      expect(run.exitCode).to.equal(ExitCode.Usage);
      expect(run.errors).to.not.equal("");
    });
  }

  it("tells every fault of a settings file with its line", async () => {
    const file = folder.write("vm.yaml", "vm: vm-a1\nzone: Zone A\n");
    const run = await line.run("settings", "check", file, "--json");
    expect(run.exitCode).to.equal(ExitCode.Invalid);
    const { errors } = JSON.parse(run.output);
    expect(errors.map((error: { key: string }) => error.key)).to.deep.equal([
      "region",
      "listen",
      "platform",
      "fleetKeys",
      "zone",
    ]);
    expect(errors.at(-1).line).to.equal(2);
  });

  it("tells the faults of a form with their lines", async () => {
    const form = (await line.run("questionnaire")).output
      .replace("coldLimit: 2", "coldLimit: many");
    const file = folder.write("bakery.yaml", form);
    const run = await line.runOnPlatform("configuration", "generate", file);
    expect(run.exitCode).to.equal(ExitCode.Invalid);
    expect(run.errors).to.match(/bakery\.yaml:\d+: Cannot accept "many"/);
  });

  it("shows a VM's status in tables and as JSON", async () => {
    const status = {
      vm: "vm-a1",
      zones: [{ name: "zone-a", drained: false }],
      waiting: [],
    };
    line.readVm = (url, key) => {
      expect([url, key])
        .to.deep.equal(["http://10.0.0.1:8080/status", "operator-key"]);
      return Promise.resolve({ status: 200, body: JSON.stringify(status) });
    };
    const words = ["status", "--vm", "http://10.0.0.1:8080/"];
    const text = (await line.run(...words)).output;
    expect(text).to.equal(
      "vm: vm-a1\n\nzones:\nname    drained\nzone-a  false\n\nwaiting: none\n",
    );
    const json = (await line.run(...words, "--json")).output;
    expect(JSON.parse(json)).to.deep.equal(status);
  });

  it("tells a VM that cannot be reached from one that refuses", async () => {
    const words = ["status", "--vm", "http://10.0.0.1:8080"];
    expect((await line.run(...words)).exitCode).to.equal(ExitCode.Unavailable);
    line.readVm = () => Promise.resolve({ status: 401, body: "{}" });
    const refused = await line.run(...words);
    expect(refused.exitCode).to.equal(ExitCode.Failed);
    expect(refused.errors).to.include("hash of the operator's key");
    line.operatorKey = undefined;
    expect((await line.run(...words)).exitCode).to.equal(ExitCode.Usage);
  });
});

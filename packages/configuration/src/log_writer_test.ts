import { WriteConditionKind } from "@rattanvane/platform";
import { expect } from "chai";
import { describe, it } from "mocha";
import { ConfigurationErrorKind } from "./configuration_error.ts";
import { SNAPSHOT_INTERVAL_CHANGES } from "./log_writer.ts";
import {
  createMemoryPlatform,
  createWeightOperations,
  type MemoryPlatform,
  PausedTable,
  settlePromise,
  writeUpTo,
} from "./testing/memory_platform.ts";

const { signal } = new AbortController();

async function createFilledPlatform(version = 3): Promise<MemoryPlatform> {
  const platform = createMemoryPlatform();
  await writeUpTo(platform, version);
  return platform;
}

function writeWeight(
  platform: MemoryPlatform,
  options: { writer: string; weight: number; expectedVersion?: number },
) {
  const append = platform.createWriter(options.writer).append({
    author: options.writer,
    operations: createWeightOperations(options.weight),
    expectedVersion: options.expectedVersion,
  }, signal);
  return settlePromise(append, platform.clock);
}

async function loadWeight(platform: MemoryPlatform) {
  const load = settlePromise(platform.log.load(signal), platform.clock);
  const fleet = (await load)._unsafeUnwrap();
  return {
    version: fleet.version,
    weight: fleet.organisations.get("bakery")?.weight,
  };
}

describe("LogWriter", () => {
  it("accepts one of two concurrent changes and reports it to the other writer", async () => {
    const platform = await createFilledPlatform();
    const [first, second] = await Promise.all([
      writeWeight(platform, { writer: "anna", weight: 10 }),
      writeWeight(platform, { writer: "ben", weight: 20 }),
    ]);
    const results = [first, second];
    const winner = results.find((result) => result.isOk())!._unsafeUnwrap();
    const [error] = results.find((result) => result.isErr())!
      ._unsafeUnwrapErr();
    expect(error!.kind).to.equal(ConfigurationErrorKind.Conflict);
    expect(error!.meanwhile).to.deep.equal([winner]);
    expect(error!.message).to.include(
      `version 4 by "${winner.author}" did put organisation "bakery"`,
    );
    expect((await loadWeight(platform)).version).to.equal(4);
  });

  it("rejects a change that is based on an older version", async () => {
    const platform = await createFilledPlatform(5);
    const result = await writeWeight(platform, {
      writer: "anna",
      weight: 10,
      expectedVersion: 3,
    });
    const [error] = result._unsafeUnwrapErr();
    expect(error!.kind).to.equal(ConfigurationErrorKind.Conflict);
    expect(error!.meanwhile.map((change) => change.version))
      .to.deep.equal([4, 5]);
  });

  it("recognises its own change when the answer was lost", async () => {
    const platform = await createFilledPlatform();
    platform.faults.lostAnswers = 1;
    const result = await writeWeight(platform, { writer: "anna", weight: 10 });
    expect(result._unsafeUnwrap().version).to.equal(4);
    expect(await loadWeight(platform)).to.deep.equal({
      version: 4,
      weight: 10,
    });
  });

  it("writes a change once when several answers are lost", async () => {
    const platform = await createFilledPlatform();
    platform.faults.lostAnswers = 3;
    const result = await writeWeight(platform, { writer: "anna", weight: 10 });
    expect(result._unsafeUnwrap().version).to.equal(4);
    expect((await loadWeight(platform)).version).to.equal(4);
  });

  it("reports that nothing was written during an outage", async () => {
    const platform = await createFilledPlatform();
    platform.faults.outage = true;
    const result = await writeWeight(platform, { writer: "anna", weight: 10 });
    const [error] = result._unsafeUnwrapErr();
    expect(error!.kind).to.equal(ConfigurationErrorKind.PlatformUnavailable);
    platform.faults.outage = false;
    expect((await loadWeight(platform)).version).to.equal(3);
  });

  it("reports an unknown outcome when an outage follows a lost answer", async () => {
    const platform = await createFilledPlatform();
    platform.faults.lostAnswers = 1;
    const append = writeWeight(platform, { writer: "anna", weight: 10 });
    while (platform.faults.lostAnswers > 0) {
      await platform.clock.advance(0);
    }
    platform.faults.outage = true;
    const [error] = (await append)._unsafeUnwrapErr();
    expect(error!.kind).to.equal(ConfigurationErrorKind.OutcomeUnknown);
    expect(error!.message).to.include('"anna-1"');
  });

  it("appends to a slow platform", async () => {
    const platform = await createFilledPlatform();
    platform.faults.delayMilliseconds = 900;
    const result = await writeWeight(platform, { writer: "anna", weight: 10 });
    expect(result._unsafeUnwrap().version).to.equal(4);
  });

  it("rejects a change that does not fit into one message", async () => {
    const platform = await createFilledPlatform();
    const writer = platform.createWriter("anna");
    const operations = Array.from(
      { length: 1_000 },
      () => createWeightOperations(5),
    ).flat();
    const result = await writer.append({ author: "anna", operations }, signal);
    expect(result._unsafeUnwrapErr()[0]!.kind).to.equal(
      ConfigurationErrorKind.TooLarge,
    );
  });

  it("rejects more rows than fit into one transaction", async () => {
    const platform = await createFilledPlatform();
    const attachedRows = Array.from({ length: 99 }, (_, index) => ({
      key: `configuration/questionnaire/team-${index}`,
      condition: { kind: WriteConditionKind.Always as const },
      value: "{}",
    }));
    const append = (rows: typeof attachedRows) =>
      platform.createWriter("anna").append({
        author: "anna",
        operations: createWeightOperations(5),
        attachedRows: rows,
      }, signal);
    expect((await append(attachedRows))._unsafeUnwrapErr()[0]!.kind)
      .to.equal(ConfigurationErrorKind.TooLarge);
    (await append(attachedRows.slice(1)))._unsafeUnwrap();
  });

  it("cannot insert an old version again after the log was trimmed", async () => {
    const platform = await createFilledPlatform();
    const table = new PausedTable(platform.table);
    const paused = platform.createWriter("paused", table).append({
      author: "paused",
      operations: createWeightOperations(10),
    }, signal);
    await table.arrived.promise;
    await writeUpTo(platform, 2 * SNAPSHOT_INTERVAL_CHANGES + 1);
    expect(platform.table.listKeys()).to.not.include(
      "configuration/log/00000000000000000004",
    );
    table.released.resolve();
    const result = await settlePromise(paused, platform.clock);
    expect(result._unsafeUnwrapErr()[0]!.kind).to.equal(
      ConfigurationErrorKind.Conflict,
    );
    expect(platform.table.listKeys()).to.not.include(
      "configuration/log/00000000000000000004",
    );
  });
});

describe("ConfigurationLog", () => {
  it("trims the log and still loads the newest configuration", async () => {
    const version = 3 * SNAPSHOT_INTERVAL_CHANGES + 7;
    const platform = await createFilledPlatform(version);
    const rows = platform.table.listKeys().filter((key) =>
      key.startsWith("configuration/log/")
    );
    expect(rows).to.have.length(SNAPSHOT_INTERVAL_CHANGES + 7);
    expect(await loadWeight(platform)).to.deep.equal({
      version,
      weight: version,
    });
  });

  it("returns a snapshot to a reader whose rows were trimmed", async () => {
    const version = 2 * SNAPSHOT_INTERVAL_CHANGES + 7;
    const platform = await createFilledPlatform(version);
    const contents = (await platform.log.readAfter(5, signal))._unsafeUnwrap();
    expect(contents.snapshot?.version).to.equal(2 * SNAPSHOT_INTERVAL_CHANGES);
    expect(contents.changes.map((change) => change.version))
      .to.deep.equal([401, 402, 403, 404, 405, 406, 407]);
  });

  it("returns only the changes to a reader that is slightly behind", async () => {
    const platform = await createFilledPlatform(9);
    platform.faults.reads = 0;
    const contents = (await platform.log.readAfter(7, signal))._unsafeUnwrap();
    expect(contents.snapshot).to.equal(undefined);
    expect(contents.changes).to.have.length(2);
    expect(platform.faults.reads).to.equal(1);
  });
});

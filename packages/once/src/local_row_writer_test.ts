import { ManualClock, RandomSource } from "@rattanvane/base";
import { PlatformErrorKind, WriteConditionKind } from "@rattanvane/platform";
import {
  MemoryTableService,
  PlatformFaults,
} from "@rattanvane/platform/testing";
import { expect } from "chai";
import { describe, it } from "mocha";
import { LocalRowWriter, WRITER_ROW_PREFIX } from "./local_row_writer.ts";
import type { ConditionalWrite } from "./row_writer.ts";

const BATCH_MILLISECONDS = 10;
const { Conflict, OutcomeUnknown, Unavailable } = PlatformErrorKind;

function createInsert(key: string): ConditionalWrite {
  return { key, condition: { kind: WriteConditionKind.Absent }, value: "{}" };
}

function createUpdate(key: string, version: number): ConditionalWrite {
  const condition = { kind: WriteConditionKind.AtVersion, version } as const;
  return { key, condition, value: "{}" };
}

function createFixture() {
  const clock = new ManualClock();
  const faults = new PlatformFaults(clock);
  const table = new MemoryTableService(faults);
  const stop = new AbortController();
  const writer = new LocalRowWriter({
    table,
    clock,
    random: new RandomSource(1),
    writerId: "w1",
    batchMilliseconds: BATCH_MILLISECONDS,
  }, stop.signal);
  /** Writes rows together; returns the new version or the error kind of each. */
  const writeAll = async (...writes: ConditionalWrite[]) => {
    const written = Promise.all(
      writes.map(async (write) => {
        const result = await writer.write(write);
        return result.isOk() ? result.value.version : result.error.kind;
      }),
    );
    let settled = false;
    void written.then(() => settled = true);
    while (!settled) {
      await clock.advance(BATCH_MILLISECONDS);
    }
    return await written;
  };
  return { faults, table, stop, writeAll };
}

describe("LocalRowWriter", () => {
  it("writes rows that arrive together in one transaction", async () => {
    const { faults, writeAll } = createFixture();
    const inserts = Array.from({ length: 99 }, (_, n) => createInsert(`a${n}`));
    const versions = await writeAll(...inserts);
    expect(new Set(versions)).to.deep.equal(new Set([1]));
    expect(faults.writes).to.equal(1);
    await writeAll(...inserts.map(({ key }) => createInsert(`b${key}`)));
    expect(faults.writes).to.equal(2);
  });

  it("splits rows that exceed the size of a transaction", async () => {
    const { faults, writeAll } = createFixture();
    const inserts = Array.from(
      { length: 250 },
      (_, n) => createInsert(`a${n}`),
    );
    expect(await writeAll(...inserts)).to.have.length(250);
    expect(faults.writes).to.equal(3);
  });

  it("does not fail the other rows of a batch when some rows conflict", async () => {
    const { writeAll } = createFixture();
    await writeAll(createInsert("a"), createInsert("b"));
    const results = await writeAll(
      createInsert("a"),
      createInsert("c"),
      createUpdate("b", 1),
      createUpdate("d", 1),
    );
    expect(results).to.deep.equal([Conflict, 1, 2, Conflict]);
  });

  it("accepts the first of two inserts of the same row and rejects the second", async () => {
    const { writeAll } = createFixture();
    const results = await writeAll(createInsert("a"), createInsert("a"));
    expect(results).to.deep.equal([1, Conflict]);
  });

  for (const lostAnswers of [1, 2, 3]) {
    it(`determines the outcome of rows when ${lostAnswers} answers are lost`, async () => {
      const { faults, table, writeAll } = createFixture();
      await writeAll(createInsert("a"));
      faults.lostAnswers = lostAnswers;
      const results = await writeAll(
        createInsert("b"),
        createUpdate("a", 1),
      );
      expect(results).to.deep.equal([1, 2]);
      const signal = new AbortController().signal;
      const row = (await table.read("b", signal))._unsafeUnwrap();
      expect(row?.version).to.equal(1);
    });
  }

  it("reports rows as not written during a platform outage", async () => {
    const { faults, table, writeAll } = createFixture();
    faults.outage = true;
    expect(await writeAll(createInsert("a"))).to.deep.equal([Unavailable]);
    faults.outage = false;
    expect(await writeAll(createInsert("a"))).to.deep.equal([1]);
    expect(table.listKeys()).to.include("a");
  });

  it("reports an unknown outcome when an outage follows a lost answer", async () => {
    const { faults, table, writeAll } = createFixture();
    faults.lostAnswers = 1;
    const write = table.write.bind(table);
    table.write = (writes, signal) => {
      const result = write(writes, signal);
      faults.outage = true;
      return result;
    };
    expect(await writeAll(createInsert("a"))).to.deep.equal([OutcomeUnknown]);
    expect(table.listKeys()).to.include("a");
    faults.outage = false;
    table.write = write;
    expect(await writeAll(createInsert("b"))).to.deep.equal([1]);
  });

  it("continues to write after its marker was removed", async () => {
    const { table, writeAll } = createFixture();
    await writeAll(createInsert("a"));
    const marker = table.listKeys().find((key) =>
      key.startsWith(WRITER_ROW_PREFIX)
    );
    await table.write([{
      key: marker ?? "",
      condition: { kind: WriteConditionKind.Always },
      value: undefined,
    }], new AbortController().signal);
    expect(await writeAll(createInsert("b"))).to.deep.equal([1]);
  });

  it("fails queued and further writes when its process stops", async () => {
    const { stop, writeAll } = createFixture();
    const queued = writeAll(createInsert("a"));
    stop.abort();
    expect(await queued).to.deep.equal([Unavailable]);
    expect(await writeAll(createInsert("b"))).to.deep.equal([Unavailable]);
  });
});

import { ManualClock } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { PlatformErrorKind } from "../platform_error.ts";
import { type RowWrite, WriteConditionKind } from "../table_service.ts";
import { MemoryTableService } from "./memory_table_service.ts";
import { PlatformFaults } from "./platform_faults.ts";

const signal = new AbortController().signal;

function createTable() {
  const clock = new ManualClock();
  return { clock, table: new MemoryTableService(new PlatformFaults(clock)) };
}

function createInsert(key: string, value = "{}"): RowWrite {
  return { key, condition: { kind: WriteConditionKind.Absent }, value };
}

describe("MemoryTableService", () => {
  it("writes all rows of a transaction or none", async () => {
    const { table } = createTable();
    await table.write([createInsert("a")], signal);
    const result = await table.write(
      [createInsert("b"), createInsert("a")],
      signal,
    );
    expect(result._unsafeUnwrapErr()).to.include({
      kind: PlatformErrorKind.Conflict,
    });
    expect(result._unsafeUnwrapErr().conflicts).to.deep.equal(["a"]);
    expect(table.listKeys()).to.deep.equal(["a"]);
  });

  it("lets a write take effect though its answer is lost", async () => {
    const { table } = createTable();
    table.faults.lostAnswers = 1;
    const result = await table.write([createInsert("a")], signal);
    expect(result._unsafeUnwrapErr().kind).to.equal(
      PlatformErrorKind.OutcomeUnknown,
    );
    expect(table.listKeys()).to.deep.equal(["a"]);
  });

  it("does nothing during an outage", async () => {
    const { table } = createTable();
    table.faults.outage = true;
    const result = await table.write([createInsert("a")], signal);
    expect(result._unsafeUnwrapErr().kind).to.equal(
      PlatformErrorKind.Unavailable,
    );
    expect(table.listKeys()).to.deep.equal([]);
  });

  it("reads ranges in the order of keys", async () => {
    const { table } = createTable();
    for (const key of ["p/3", "p/1", "q/1", "p/2"]) {
      await table.write([createInsert(key)], signal);
    }
    const rows = await table.readRange(
      { prefix: "p/", afterKey: "p/1", limit: 1 },
      signal,
    );
    expect(rows._unsafeUnwrap().map((row) => row.key)).to.deep.equal(["p/2"]);
  });

  it("answers late when it is slow", async () => {
    const { clock, table } = createTable();
    table.faults.delayMilliseconds = 300;
    let done = false;
    const read = table.read("a", signal).then(() => done = true);
    await clock.advance(299);
    expect(done).to.equal(false);
    await clock.advance(1);
    await read;
    expect(done).to.equal(true);
  });
});

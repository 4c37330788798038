import { expect } from "chai";
import { describe, it } from "mocha";
import { measureRowWriters } from "./measure_row_writer.ts";

const TABLE_WRITES_PER_SECOND = 320;

describe("group commit at 580 keyed calls per second", () => {
  const base = {
    callsPerSecond: 580,
    batchMilliseconds: 20,
    tableMilliseconds: 10,
    callMilliseconds: 500,
    seconds: 2,
    seed: 3,
  };

  it("stays below the table's write limit with ten collectors", async () => {
    const figures = await measureRowWriters({
      ...base,
      collectors: 10,
      forwardingMilliseconds: 1,
    });
    expect(figures.transactionsPerSecond).to.be.below(TABLE_WRITES_PER_SECOND);
    expect(figures.p99DelayMilliseconds).to.be.below(100);
  });

  it("exceeds the table's write limit when each VM writes its own rows", async () => {
    const figures = await measureRowWriters({
      ...base,
      collectors: 420,
      forwardingMilliseconds: 0,
    });
    expect(figures.transactionsPerSecond).to.be.above(TABLE_WRITES_PER_SECOND);
  });
});

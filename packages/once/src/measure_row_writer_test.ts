import { expect } from "chai";
import { describe, it } from "mocha";
import { measureRowWriters } from "./measure_row_writer.ts";

const TABLE_WRITES_PER_SECOND = 320;

describe("group commit at 580 keyed calls a second", () => {
  const base = {
    callsPerSecond: 580,
    batchMilliseconds: 20,
    tableMilliseconds: 10,
    callMilliseconds: 500,
    seconds: 2,
    seed: 3,
  };

  it("stays within the table's writes with ten collectors", async () => {
    const figures = await measureRowWriters({
      ...base,
      collectors: 10,
      hopMilliseconds: 1,
    });
    expect(figures.transactionsPerSecond).to.be.below(TABLE_WRITES_PER_SECOND);
    expect(figures.slowDelayMilliseconds).to.be.below(100);
  });

  it("would not when each VM wrote its own rows", async () => {
    const figures = await measureRowWriters({
      ...base,
      collectors: 420,
      hopMilliseconds: 0,
    });
    expect(figures.transactionsPerSecond).to.be.above(TABLE_WRITES_PER_SECOND);
  });
});

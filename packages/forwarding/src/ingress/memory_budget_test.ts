import { expect } from "chai";
import { describe, it } from "mocha";
import { computeMemoryBudget } from "./memory_budget.ts";

const MEGABYTE = 1e6;
/** The memory of an idle process on the smallest machine. */
const IDLE_BYTES = 90 * MEGABYTE;
const MACHINES = [178, 200, 210, 250, 350, 490, 602];

describe("computeMemoryBudget", () => {
  for (const megabytes of MACHINES) {
    it(`leaves half of the memory beside an idle process free on a machine with ${megabytes} MB`, () => {
      const memoryBytes = megabytes * MEGABYTE;
      const { callerBytes, answerBytes } = computeMemoryBudget({ memoryBytes });
      expect(callerBytes + answerBytes).to.be.at.most(
        (memoryBytes - IDLE_BYTES) / 2,
      );
    });

    it(`has room for a body and for an answer on a machine with ${megabytes} MB`, () => {
      const memoryBytes = megabytes * MEGABYTE;
      const { callerBytes, answerBytes } = computeMemoryBudget({ memoryBytes });
      const bodyBytes = 4 * 1024 * 1024;
      expect(callerBytes).to.be.above(bodyBytes);
      expect(answerBytes).to.be.above(bodyBytes);
    });
  }

  it("takes what is set for callers", () => {
    const set = { memoryBytes: 200 * MEGABYTE, callerBytes: 5 * MEGABYTE };
    expect(computeMemoryBudget(set).callerBytes).to.equal(5 * MEGABYTE);
  });
});

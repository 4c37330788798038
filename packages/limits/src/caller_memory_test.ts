import { createSilentLogger, ManualClock } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { CallerMemory, HeldKind } from "./caller_memory.ts";

const MAX_BYTES = 100;
const IDLE_MILLISECONDS = 1_000;

/** Creates a memory whose shares record that they were released. */
function createRecordedMemory() {
  const clock = new ManualClock();
  const released: string[] = [];
  const memory = new CallerMemory({
    maxBytes: MAX_BYTES,
    clock,
    logger: createSilentLogger(),
    countRelease: () => {},
  });
  const addShare = (organisation: string, name: string) => {
    const share = memory.createShare(() => name);
    share.organisation = organisation;
    share.release = () => released.push(name);
    return share;
  };
  return { clock, memory, released, addShare };
}

/** Load: bodies that stop short hold all of the memory for callers. */
describe("CallerMemory", () => {
  it("releases the caller that holds most and does not go on", async () => {
    const { clock, memory, released, addShare } = createRecordedMemory();
    addShare("a", "small and idle").update(HeldKind.Body, 10);
    addShare("a", "long and idle").update(HeldKind.Body, 40);
    const steady = addShare("a", "steady");
    await clock.advance(IDLE_MILLISECONDS);
    for (let bytes = 1; bytes <= 60; bytes++) {
      steady.update(HeldKind.Body, bytes);
    }
    expect(released).to.deep.equal(["long and idle"]);
    expect(memory.bytes).to.equal(70);
  });

  it("takes from the organisation that holds most", () => {
    const { released, addShare } = createRecordedMemory();
    for (let share = 0; share < 4; share++) {
      addShare("flood", `flood ${share}`).update(HeldKind.Body, 15);
    }
    addShare("other", "other").update(HeldKind.Answer, 39);
    addShare("other", "other, too").update(HeldKind.Body, 2);
    expect(released).to.deep.equal(["flood 0"]);
  });

  it("does not release what runs, and leaves memory to other organisations", () => {
    const { released, addShare } = createRecordedMemory();
    const admitted = Array.from({ length: 10 }, (_, index) => {
      const share = addShare("flood", `flood ${index}`);
      share.update(HeldKind.Body, 10);
      const mayRun = share.run();
      if (!mayRun) {
        share.close();
      }
      return mayRun;
    });
    expect(admitted.filter((mayRun) => mayRun)).to.have.lengthOf(7);
    const other = addShare("other", "other");
    other.update(HeldKind.Body, 10);
    expect(other.run()).to.equal(true);
    expect(released).to.deep.equal([]);
  });

  it("counts nothing of a request that has ended", () => {
    const { memory, addShare } = createRecordedMemory();
    const share = addShare("a", "a");
    share.update(HeldKind.Body, 10);
    share.run();
    share.update(HeldKind.Answer, 50);
    share.close();
    expect(memory.bytes).to.equal(0);
    const next = addShare("a", "next");
    next.update(HeldKind.Body, 75);
    expect(next.run()).to.equal(true);
  });
});

import { expect } from "chai";
import { describe, it } from "mocha";
import { BufferCollector } from "./buffer_collector.ts";

const MEBIBYTE = 1024 * 1024;
const RESTING_BYTES = 5 * MEBIBYTE;
const HELD_BYTES = 10 * MEBIBYTE;

/** Records the collections of a process whose buffers have these bytes. */
function collectRecorded(
  bufferBytes: number[],
  receivedBytes: number,
): string[] {
  const collected: string[] = [];
  const remaining = [RESTING_BYTES, ...bufferBytes];
  const collector = new BufferCollector({
    readHeldBytes: () => HELD_BYTES,
    readBufferBytes: () => remaining.shift() ?? 0,
    collectGarbage: ({ type }) => collected.push(type),
  });
  for (let bytes = 0; bytes < receivedBytes; bytes += MEBIBYTE / 16) {
    collector.record(MEBIBYTE / 16);
  }
  return collected;
}

/** Load: much is received at a time on a small machine. */
describe("BufferCollector", () => {
  const used = RESTING_BYTES + 2 * HELD_BYTES;

  it("collects young buffers, and all if that frees too little", () => {
    const much = used + 17 * MEBIBYTE;
    expect(collectRecorded([much, used], 2 * MEBIBYTE)).to.deep.equal([
      "minor",
    ]);
    expect(collectRecorded([much, much], 2 * MEBIBYTE)).to.deep.equal([
      "minor",
      "major",
    ]);
  });

  it("waits longer after it has collected and freed too little", () => {
    const much = used + 17 * MEBIBYTE;
    const readings = Array.from({ length: 12 }, () => much);
    expect(collectRecorded(readings, 18 * MEBIBYTE)).to.have.lengthOf(2);
  });

  it("leaves buffers alone that are in use, or that are few", () => {
    const few = used + 15 * MEBIBYTE;
    expect(collectRecorded([few, few], 4 * MEBIBYTE)).to.deep.equal([]);
    expect(collectRecorded([Infinity], MEBIBYTE)).to.deep.equal([]);
  });
});

import { expect } from "chai";
import { describe, it } from "mocha";
import { SpareRoom } from "./spare_room.ts";

const STREAMS = 2_000;

/** The mean factor while one stream in so many is late. */
function measureFactor(streamsForEachLate: number): number {
  const room = new SpareRoom();
  let sum = 0;
  for (let stream = 1; stream <= STREAMS; stream++) {
    room.recordStream(stream % streamsForEachLate === 0);
    sum += room.factor;
  }
  return sum / STREAMS;
}

describe("SpareRoom", () => {
  it("gives more room while streams run smoothly, and less while they pause", () => {
    expect(measureFactor(STREAMS * 2)).to.be.greaterThan(1.2);
    expect(measureFactor(5)).to.be.lessThan(0.8);
  });

  it("stays within bounds whatever happens", () => {
    const room = new SpareRoom();
    for (let stream = 0; stream < STREAMS; stream++) {
      room.recordStream(true);
    }
    expect(room.factor).to.be.within(0.5, 1);
    for (let stream = 0; stream < STREAMS; stream++) {
      room.recordStream(false);
    }
    expect(room.factor).to.be.within(1, 2);
  });
});

import { Clock } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { Freshness } from "./freshness.ts";

class DivergingClock extends Clock {
  steady = 0;
  wall = 1_000_000;

  override now(): number {
    return this.steady;
  }

  override wallTime(): number {
    return this.wall;
  }

  override sleep(): Promise<void> {
    return Promise.resolve();
  }

  /** Advances both clocks, as without a suspension. */
  advance(milliseconds: number): void {
    this.steady += milliseconds;
    this.wall += milliseconds;
  }
}

describe("Freshness", () => {
  it("counts the age from when the request was sent", () => {
    const clock = new DivergingClock();
    const freshness = new Freshness(clock);
    const sent = freshness.readClocks();
    clock.advance(300);
    freshness.confirm(sent);
    clock.advance(100);
    expect(freshness.computeAge()).to.equal(400);
  });

  it("adds the age that a peer reported", () => {
    const clock = new DivergingClock();
    const freshness = new Freshness(clock);
    freshness.confirm(freshness.readClocks(), 700);
    clock.advance(50);
    expect(freshness.computeAge()).to.equal(750);
  });

  it("invalidates a confirmation after a suspension that stopped the steady clock", () => {
    const clock = new DivergingClock();
    const freshness = new Freshness(clock);
    freshness.confirm(freshness.readClocks());
    clock.wall += 4_000;
    expect(freshness.computeAge()).to.equal(Infinity);
    freshness.confirm(freshness.readClocks());
    expect(freshness.computeAge()).to.equal(0);
  });

  it("ignores a response when the VM was suspended since the request", () => {
    const clock = new DivergingClock();
    const freshness = new Freshness(clock);
    const sent = freshness.readClocks();
    clock.wall += 4_000;
    freshness.confirm(sent);
    expect(freshness.computeAge()).to.equal(Infinity);
  });

  it("keeps the newest of several confirmations", () => {
    const clock = new DivergingClock();
    const freshness = new Freshness(clock);
    const earlier = freshness.readClocks();
    clock.advance(500);
    freshness.confirm(freshness.readClocks());
    freshness.confirm(earlier);
    expect(freshness.computeAge()).to.equal(0);
  });
});

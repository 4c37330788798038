import { Clock } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { Freshness } from "./freshness.ts";

class TwoClocks extends Clock {
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

  pass(milliseconds: number): void {
    this.steady += milliseconds;
    this.wall += milliseconds;
  }
}

describe("Freshness", () => {
  it("counts from when the question was sent", () => {
    const clock = new TwoClocks();
    const freshness = new Freshness(clock);
    const asked = freshness.readQuestionTime();
    clock.pass(300);
    freshness.confirm(asked);
    clock.pass(100);
    expect(freshness.computeAge()).to.equal(400);
  });

  it("adds the age of a proof that a peer passed on", () => {
    const clock = new TwoClocks();
    const freshness = new Freshness(clock);
    freshness.confirm(freshness.readQuestionTime(), 700);
    clock.pass(50);
    expect(freshness.computeAge()).to.equal(750);
  });

  it("has no proof after a suspension in which the steady clock stood", () => {
    const clock = new TwoClocks();
    const freshness = new Freshness(clock);
    freshness.confirm(freshness.readQuestionTime());
    clock.wall += 4_000;
    expect(freshness.computeAge()).to.equal(Infinity);
    freshness.confirm(freshness.readQuestionTime());
    expect(freshness.computeAge()).to.equal(0);
  });

  it("does not accept an answer that a suspension separates from its question", () => {
    const clock = new TwoClocks();
    const freshness = new Freshness(clock);
    const asked = freshness.readQuestionTime();
    clock.wall += 4_000;
    freshness.confirm(asked);
    expect(freshness.computeAge()).to.equal(Infinity);
  });

  it("keeps the newest of several proofs", () => {
    const clock = new TwoClocks();
    const freshness = new Freshness(clock);
    const early = freshness.readQuestionTime();
    clock.pass(500);
    freshness.confirm(freshness.readQuestionTime());
    freshness.confirm(early);
    expect(freshness.computeAge()).to.equal(0);
  });
});

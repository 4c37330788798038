import { expect } from "chai";
import { describe, it } from "mocha";
import { RunDurations } from "./run_durations.ts";

describe("RunDurations", () => {
  it("predicts more than nearly all requests of a route took", () => {
    const durations = new RunDurations();
    expect(durations.predict("route")).to.equal(Infinity);
    for (let request = 0; request < 200; request++) {
      durations.record("route", 100 + (request % 10) * 20);
    }
    expect(durations.predict("route")).to.be.within(280, 600);
    expect(durations.predict("other")).to.equal(Infinity);
  });

  it("follows requests that take longer than before", () => {
    const durations = new RunDurations();
    for (let request = 0; request < 50; request++) {
      durations.record("route", 10);
    }
    for (let request = 0; request < 50; request++) {
      durations.record("route", 1_000);
    }
    expect(durations.predict("route")).to.be.at.least(1_000);
  });
});

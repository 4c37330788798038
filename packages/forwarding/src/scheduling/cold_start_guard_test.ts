import { ManualClock } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { ColdStartGuard } from "./cold_start_guard.ts";

const BOUND = { coldMilliseconds: 3_000, arrivalsPerSecond: 39.5 };
const VMS = 6;

describe("ColdStartGuard", () => {
  it("limits the arrivals from all VMs in any second", async () => {
    const clock = new ManualClock();
    const guards = Array.from({ length: VMS }, () => new ColdStartGuard(clock));
    const arrivals: number[] = [];
    guards.forEach((guard) => guard.markCold(3_000));
    for (let step = 0; step < 300; step++) {
      for (const guard of guards) {
        if (guard.hasCapacity(BOUND, VMS)) {
          guard.recordArrival();
          arrivals.push(clock.now());
        }
      }
      await clock.advance(10);
    }
    const maxArrivals = Math.max(
      ...arrivals.map((start) =>
        arrivals.filter((time) => time >= start && time < start + 1_000).length
      ),
    );
    expect(maxArrivals).to.be.at.most(BOUND.arrivalsPerSecond);
    expect(arrivals.length).to.be.greaterThan(60);
  });

  it("treats an endpoint that was down as cold after its first response", async () => {
    const clock = new ManualClock();
    const guard = new ColdStartGuard(clock);
    guard.markDown();
    await clock.advance(5_000);
    expect(guard.isCold).to.equal(true);
    guard.recordAnswer(clock.now(), BOUND);
    await clock.advance(2_900);
    expect(guard.isCold).to.equal(true);
    await clock.advance(600);
    expect(guard.isCold).to.equal(false);
  });

  it("ignores a response to an attempt sent before the endpoint was down", async () => {
    const clock = new ManualClock();
    const guard = new ColdStartGuard(clock);
    const sentAt = clock.now();
    await clock.advance(10);
    guard.markDown();
    guard.recordAnswer(sentAt, BOUND);
    expect(guard.isDown).to.equal(true);
  });

  it("does not treat a single failed connection as a crash", async () => {
    const clock = new ManualClock();
    const guard = new ColdStartGuard(clock);
    guard.recordConnectFailure(false);
    expect(guard.isDown).to.equal(false);
    await clock.advance(100);
    guard.recordResponseStart();
    await clock.advance(100);
    guard.recordConnectFailure(false);
    expect(guard.isDown).to.equal(false);
    await clock.advance(100);
    guard.recordConnectFailure(false);
    expect(guard.isDown).to.equal(true);
  });

  it("treats a refused connection as a crash", () => {
    const guard = new ColdStartGuard(new ManualClock());
    guard.recordConnectFailure(true);
    expect(guard.isDown).to.equal(true);
  });

  it("ignores a peer's report that is older than the last own response", async () => {
    const clock = new ManualClock();
    const guard = new ColdStartGuard(clock);
    await clock.advance(1_000);
    guard.recordResponseStart();
    await clock.advance(100);
    guard.recordPeerDownReport(500);
    expect(guard.isDown).to.equal(false);
    guard.recordPeerDownReport(50);
    expect(guard.isDown).to.equal(true);
  });

  it("treats a newly started endpoint as up and cold", async () => {
    const clock = new ManualClock();
    const guard = new ColdStartGuard(clock);
    guard.markDown();
    guard.recordStart(3_000);
    expect(guard.isDown).to.equal(false);
    await clock.advance(2_900);
    expect(guard.isCold).to.equal(true);
  });

  it("admits nothing if a VM's part of the limit is below one request", () => {
    const guard = new ColdStartGuard(new ManualClock());
    guard.markCold(3_000);
    expect(guard.hasCapacity(BOUND, 60)).to.equal(false);
  });
});

import { ManualClock } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { ColdGuard } from "./cold_guard.ts";

const BOUND = { coldMilliseconds: 3_000, arrivalsPerSecond: 39.5 };
const VMS = 6;

describe("ColdGuard", () => {
  it("keeps the arrivals of all VMs in any second within the bound", async () => {
    const clock = new ManualClock();
    const guards = Array.from({ length: VMS }, () => new ColdGuard(clock));
    const arrivals: number[] = [];
    guards.forEach((guard) => guard.markCold(3_000));
    for (let step = 0; step < 300; step++) {
      for (const guard of guards) {
        if (guard.hasRoom(BOUND, VMS)) {
          guard.countArrival();
          arrivals.push(clock.now());
        }
      }
      await clock.advance(10);
    }
    const most = Math.max(
      ...arrivals.map((start) =>
        arrivals.filter((time) => time >= start && time < start + 1_000).length
      ),
    );
    expect(most).to.be.at.most(BOUND.arrivalsPerSecond);
    expect(arrivals.length).to.be.greaterThan(60);
  });

  it("takes an endpoint that was down for cold from its first answer", async () => {
    const clock = new ManualClock();
    const guard = new ColdGuard(clock);
    guard.markDown();
    await clock.advance(5_000);
    expect(guard.isCold).to.equal(true);
    guard.markAnswer(clock.now(), BOUND);
    await clock.advance(2_900);
    expect(guard.isCold).to.equal(true);
    await clock.advance(600);
    expect(guard.isCold).to.equal(false);
  });

  it("does not take an answer to an older attempt for a return", async () => {
    const clock = new ManualClock();
    const guard = new ColdGuard(clock);
    const sentAt = clock.now();
    await clock.advance(10);
    guard.markDown();
    guard.markAnswer(sentAt, BOUND);
    expect(guard.isDown).to.equal(true);
  });

  it("does not take one lost connection for a crash", async () => {
    const clock = new ManualClock();
    const guard = new ColdGuard(clock);
    guard.noteUnreachable(false);
    expect(guard.isDown).to.equal(false);
    await clock.advance(100);
    guard.noteAnswer();
    await clock.advance(100);
    guard.noteUnreachable(false);
    expect(guard.isDown).to.equal(false);
    await clock.advance(100);
    guard.noteUnreachable(false);
    expect(guard.isDown).to.equal(true);
  });

  it("takes a refused connection for a crash", () => {
    const guard = new ColdGuard(new ManualClock());
    guard.noteUnreachable(true);
    expect(guard.isDown).to.equal(true);
  });

  it("believes a peer only about the time after its own last answer", async () => {
    const clock = new ManualClock();
    const guard = new ColdGuard(clock);
    await clock.advance(1_000);
    guard.noteAnswer();
    await clock.advance(100);
    guard.noteDownAtPeer(500);
    expect(guard.isDown).to.equal(false);
    guard.noteDownAtPeer(50);
    expect(guard.isDown).to.equal(true);
  });

  it("takes an endpoint that registers anew for up and cold", async () => {
    const clock = new ManualClock();
    const guard = new ColdGuard(clock);
    guard.markDown();
    guard.markStart(3_000);
    expect(guard.isDown).to.equal(false);
    await clock.advance(2_900);
    expect(guard.isCold).to.equal(true);
  });

  it("gives nothing where a VM's part is below one", () => {
    const guard = new ColdGuard(new ManualClock());
    guard.markCold(3_000);
    expect(guard.hasRoom(BOUND, 60)).to.equal(false);
  });
});

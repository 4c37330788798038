import {
  createLifetime,
  createSilentLogger,
  ManualClock,
  RandomSource,
} from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { RotationController } from "./rotation_controller.ts";

/** Load: a VM whose callers saturate it, and other VMs of its zone. */
function createFixture() {
  const clock = new ManualClock();
  const scheduler = { mayLeave: true, utilization: 0.2, asked: 0 };
  const rotation = new RotationController({
    clock,
    random: new RandomSource(1),
    logger: createSilentLogger(),
    mayLeave: () => scheduler.mayLeave,
    hasScheduler: () => true,
    askSoon: () => scheduler.asked++,
    measureUtilization: () => scheduler.utilization,
  });
  const { signal } = createLifetime();
  const recordOverload = () => rotation.recordOverload(signal);
  return { clock, scheduler, rotation, recordOverload };
}

describe("RotationController", () => {
  it("leaves when the scheduler agrees, and returns after four seconds", async () => {
    const { clock, scheduler, rotation, recordOverload } = createFixture();
    scheduler.mayLeave = false;
    recordOverload();
    expect(scheduler.asked).to.equal(1);
    await clock.advance(500);
    expect(rotation.isInRotation).to.equal(true);
    scheduler.mayLeave = true;
    await clock.advance(100);
    expect(rotation.isInRotation).to.equal(false);
    await clock.advance(3_900);
    expect(rotation.isInRotation).to.equal(false);
    await clock.advance(200);
    expect(rotation.isInRotation).to.equal(true);
    expect(rotation.isAsking).to.equal(false);
  });

  it("stays in rotation when the scheduler does not agree", async () => {
    const { clock, scheduler, rotation, recordOverload } = createFixture();
    scheduler.mayLeave = false;
    recordOverload();
    await clock.advance(1_100);
    expect(rotation.isAsking).to.equal(false);
    expect(rotation.isInRotation).to.equal(true);
  });

  it("stays out while kept connections keep it busy, for 30 seconds at most", async () => {
    const { clock, scheduler, rotation, recordOverload } = createFixture();
    scheduler.utilization = 0.95;
    recordOverload();
    await clock.advance(29_000);
    expect(rotation.isInRotation).to.equal(false);
    await clock.advance(1_500);
    expect(rotation.isInRotation).to.equal(true);
  });

  it("stays out for longer when it is saturated again soon", async () => {
    const { clock, rotation, recordOverload } = createFixture();
    recordOverload();
    await clock.advance(4_200);
    recordOverload();
    await clock.advance(7_500);
    expect(rotation.isInRotation).to.equal(false);
    await clock.advance(700);
    expect(rotation.isInRotation).to.equal(true);
  });

  it("returns when the scheduler takes its leave back", async () => {
    const { clock, scheduler, rotation, recordOverload } = createFixture();
    recordOverload();
    await clock.advance(1_000);
    scheduler.mayLeave = false;
    await clock.advance(100);
    expect(rotation.isInRotation).to.equal(true);
  });

  it("tells refused callers to come back once they reach another VM", async () => {
    const { clock, rotation, recordOverload } = createFixture();
    expect(rotation.computeMoveMilliseconds()).to.equal(undefined);
    recordOverload();
    expect(rotation.computeMoveMilliseconds()).to.be.within(2_000, 2_600);
    await clock.advance(1_500);
    expect(rotation.computeMoveMilliseconds()).to.be.within(500, 1_100);
    await clock.advance(1_000);
    expect(rotation.computeMoveMilliseconds()).to.be.within(0, 400);
  });

  it("does not tell so when the scheduler does not agree", async () => {
    const { clock, scheduler, rotation, recordOverload } = createFixture();
    scheduler.mayLeave = false;
    recordOverload();
    await clock.advance(800);
    recordOverload();
    expect(rotation.isAsking).to.equal(true);
    expect(rotation.computeMoveMilliseconds()).to.equal(undefined);
  });
});

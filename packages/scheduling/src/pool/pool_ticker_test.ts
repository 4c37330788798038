import { ManualClock } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { PoolTicker } from "./pool_ticker.ts";
import { PoolWorld } from "./testing/pool_world.ts";

const TICK_MILLISECONDS = 100;
const IDLE_MILLISECONDS = 1500;

function createFixture() {
  const clock = new ManualClock();
  const pool = { isIdle: true, ticks: 0 };
  const ticker = new PoolTicker({
    clock,
    tickMilliseconds: TICK_MILLISECONDS,
    findIdleMilliseconds: () => pool.isIdle ? IDLE_MILLISECONDS : undefined,
  });
  const abort = new AbortController();
  const ended = ticker.run(() => pool.ticks++, abort.signal);
  return { clock, pool, ticker, abort, ended };
}

/** Counts the ticks of all schedulers by their sleeps, one for each tick. */
async function countTicks(world: PoolWorld, seconds: number): Promise<number> {
  let ticks = 0;
  const { clock } = world;
  const sleep = clock.sleep.bind(clock);
  clock.sleep = (milliseconds, signal) => {
    ticks++;
    return sleep(milliseconds, signal);
  };
  await world.run(seconds * 1000);
  clock.sleep = sleep;
  return ticks;
}

function createWorld(): PoolWorld {
  const world = new PoolWorld({
    seed: 4,
    zones: ["z1", "z2"].map((zone) => ({ zone, vms: 1, endpoints: 2 })),
  });
  world.startScheduler("z1-vm0");
  world.startScheduler("z2-vm0");
  return world;
}

describe("PoolTicker", () => {
  it("ticks at the idle period while the pool is idle", async () => {
    const { clock, pool, abort } = createFixture();
    await clock.advance(30_000);
    expect(pool.ticks).to.equal(21);
    abort.abort();
  });

  it("wakes at once for pending work only", async () => {
    const { clock, pool, ticker, abort } = createFixture();
    ticker.wakeIfBusy();
    await clock.advance(10);
    expect(pool.ticks).to.equal(1);
    pool.isIdle = false;
    ticker.wakeIfBusy();
    await clock.advance(1);
    expect(pool.ticks).to.equal(2);
    await clock.advance(1000);
    expect(pool.ticks).to.equal(12);
    abort.abort();
  });

  it("ends while it sleeps in an idle pool", async () => {
    const { clock, abort, ended } = createFixture();
    await clock.advance(10);
    abort.abort();
    await ended;
  });

  it("ticks rarely in idle pools with load reports and siblings", async () => {
    const world = createWorld();
    await world.run(5000);
    const idle = await countTicks(world, 30);
    // Two pools, each with a keep-alive every 1,667 ms.
    expect(idle).to.be.within(30, 45);
  });

  it("ticks at the normal period only while a request runs", async () => {
    const world = createWorld();
    await world.run(5000);
    world.addRequest({ vm: "z1-vm0", organisation: "a", cost: 3000 });
    const busy = await countTicks(world, 2);
    expect(busy).to.be.above(20);
    await world.run(5000);
    expect(await countTicks(world, 30)).to.be.below(45);
  });
});

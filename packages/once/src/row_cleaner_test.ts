import { createSilentLogger } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { LocalRowWriter } from "./local_row_writer.ts";
import { RowCleaner } from "./row_cleaner.ts";
import {
  createDatedKey,
  describeResult,
  OnceFleet,
} from "./testing/once_fleet.ts";
import { RandomSource } from "@rattanvane/base";

const MINUTE_MILLISECONDS = 60_000;
const HOUR_MILLISECONDS = 60 * MINUTE_MILLISECONDS;
const DAY_MILLISECONDS = 24 * HOUR_MILLISECONDS;
const signal = new AbortController().signal;

function createCleaner(fleet: OnceFleet, isCleaner = () => true) {
  const { table, objects, clock } = fleet;
  const writer = new LocalRowWriter({
    table,
    clock,
    random: new RandomSource(1),
    writerId: "cleaner",
    batchMilliseconds: 10,
  }, signal);
  return new RowCleaner({
    table,
    objects,
    writer,
    clock,
    logger: createSilentLogger(),
    isCleaner,
    pagePauseMilliseconds: 10,
    scanPauseMilliseconds: MINUTE_MILLISECONDS,
  });
}

async function runJob(fleet: OnceFleet, key: string, vm: string) {
  const result = await fleet.runCall(vm, { key, job: "j1" });
  await fleet.wait(fleet.vm(vm).calls.settle());
  return describeResult(result).slice(0, 7);
}

function countCallRows(fleet: OnceFleet): number {
  return fleet.table.listKeys().filter((key) => key.startsWith("once/")).length;
}

describe("RowCleaner", () => {
  it("removes results, then rows, and never runs the call of a dated key again", async () => {
    const fleet = new OnceFleet({ rowLimitBytes: 1 });
    await fleet.clock.advance(DAY_MILLISECONDS);
    const key = createDatedKey(fleet.clock.wallTime());
    const cleaner = createCleaner(fleet);
    expect(await runJob(fleet, key, "v1")).to.equal("j1 done");
    await fleet.wait(cleaner.runOnce(signal));
    expect(await runJob(fleet, key, "v2")).to.equal("j1 done");
    await fleet.clock.advance(HOUR_MILLISECONDS);
    await fleet.wait(cleaner.runOnce(signal));
    expect(await runJob(fleet, key, "v2")).to.equal("expired");
    const objects = await fleet.objects.list("", signal);
    expect(objects._unsafeUnwrap()).to.deep.equal([]);
    await fleet.clock.advance(23 * HOUR_MILLISECONDS);
    await fleet.wait(cleaner.runOnce(signal));
    expect(countCallRows(fleet)).to.equal(1);
    await fleet.clock.advance(11 * MINUTE_MILLISECONDS);
    await fleet.wait(cleaner.runOnce(signal));
    expect(countCallRows(fleet)).to.equal(0);
    for (const vm of ["v1", "v2"]) {
      expect(await runJob(fleet, key, vm)).to.equal("expired");
    }
    expect(fleet.endpoint.countRuns("j1")).to.equal(1);
  });

  it("retains the row of a key without a date for the configured time", async () => {
    const fleet = new OnceFleet();
    const cleaner = createCleaner(fleet);
    await runJob(fleet, "no-date", "v1");
    await fleet.clock.advance(7 * DAY_MILLISECONDS - MINUTE_MILLISECONDS);
    await fleet.wait(cleaner.runOnce(signal));
    expect(await runJob(fleet, "no-date", "v2")).to.equal("expired");
    expect(fleet.endpoint.countRuns("j1")).to.equal(1);
    await fleet.clock.advance(MINUTE_MILLISECONDS);
    await fleet.wait(cleaner.runOnce(signal));
    expect(countCallRows(fleet)).to.equal(0);
  });

  it("removes expired marker rows of writers", async () => {
    const fleet = new OnceFleet();
    await runJob(fleet, "k1", "v1");
    await fleet.clock.advance(2 * DAY_MILLISECONDS);
    await fleet.wait(createCleaner(fleet).runOnce(signal));
    const markers = fleet.table.listKeys().filter((key) =>
      key.startsWith("once-writer/v1")
    );
    expect(markers).to.deep.equal([]);
  });

  it("scans periodically until its process stops", async () => {
    const fleet = new OnceFleet();
    const stop = new AbortController();
    const running = createCleaner(fleet).run(stop.signal);
    for (const key of ["k1", "k2"]) {
      await runJob(fleet, key, "v1");
      await fleet.clock.advance(8 * DAY_MILLISECONDS);
      await fleet.clock.advance(2 * MINUTE_MILLISECONDS);
      expect(countCallRows(fleet)).to.equal(0);
    }
    stop.abort();
    await fleet.wait(running);
  });

  it("removes nothing on a VM that is not the cleaner", async () => {
    const fleet = new OnceFleet();
    await runJob(fleet, "k1", "v1");
    await fleet.clock.advance(8 * DAY_MILLISECONDS);
    await fleet.wait(createCleaner(fleet, () => false).runOnce(signal));
    expect(countCallRows(fleet)).to.equal(1);
  });
});

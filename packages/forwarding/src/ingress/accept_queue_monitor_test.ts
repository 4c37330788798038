import { setImmediate as waitForTurn } from "node:timers/promises";
import { expect } from "chai";
import { describe, it } from "mocha";
import { BlockedClock } from "../testing/blocked_clock.ts";
import { AcceptQueueMonitor } from "./accept_queue_monitor.ts";

const TURN_MILLISECONDS = 10;

/**
 * Lets turns of the event loop pass, each of which accepts a connection. Returns
 * how many of these may be served.
 */
async function runAcceptingTurns(
  { clock, monitor }: ReturnType<typeof createFixture>,
  turns: number,
): Promise<number> {
  let served = 0;
  for (let turn = 0; turn < turns; turn++) {
    monitor.recordConnection();
    served += monitor.mayServe() ? 1 : 0;
    clock.block(TURN_MILLISECONDS);
    await waitForTurn();
  }
  return served;
}

function createFixture() {
  const clock = new BlockedClock();
  return { clock, monitor: new AcceptQueueMonitor(clock) };
}

describe("AcceptQueueMonitor", () => {
  it("reports connections that wait in each turn for longer than 100 ms", async () => {
    const fixture = createFixture();
    await runAcceptingTurns(fixture, 9);
    expect(fixture.monitor.isOverloaded).to.equal(false);
    await runAcceptingTurns(fixture, 3);
    expect(fixture.monitor.isOverloaded).to.equal(true);
  });

  it("reports none once a turn has accepted no connection", async () => {
    const fixture = createFixture();
    await runAcceptingTurns(fixture, 20);
    await waitForTurn();
    await waitForTurn();
    expect(fixture.monitor.isOverloaded).to.equal(false);
    await runAcceptingTurns(fixture, 3);
    expect(fixture.monitor.isOverloaded).to.equal(false);
  });

  it("serves a part of the connections while others wait for seconds", async () => {
    const fixture = createFixture();
    await runAcceptingTurns(fixture, 20);
    const served = await runAcceptingTurns(fixture, 400);
    expect(served).to.be.within(20, 100);
  });
});

import { Deferred } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { buildCall } from "../testing/fixtures.ts";
import { ShareStanding } from "./share_meter.ts";
import { type Waiting, WaitingQueue } from "./waiting_queue.ts";

const NOW = 1_000;

function buildWaiting(
  changes: Partial<Waiting<string>> & { priority?: number },
): Waiting<string> {
  const { priority, ...rest } = changes;
  return {
    call: buildCall(NOW, { priority: priority ?? 1 }),
    avoid: new Set(),
    since: NOW,
    standing: ShareStanding.Low,
    startBy: NOW + 400,
    verdict: new Deferred<string>(),
    ...rest,
  };
}

describe("WaitingQueue", () => {
  it("lists the urgent, then who has had least, then who must start first", () => {
    const last = buildWaiting({ standing: ShareStanding.Over });
    const third = buildWaiting({ startBy: NOW + 600 });
    const second = buildWaiting({ startBy: NOW + 300 });
    const first = buildWaiting({
      priority: 0,
      standing: ShareStanding.FarOver,
    });
    const queue = new WaitingQueue<string>();
    for (const waiting of [last, third, second, first]) {
      queue.add(waiting);
    }
    expect(queue.list(NOW)).to.deep.equal([first, second, third, last]);
  });

  it("lists those that are late after all others, and counts them", () => {
    const late = buildWaiting({ priority: 0, startBy: NOW });
    const onTime = buildWaiting({ priority: 2 });
    const queue = new WaitingQueue<string>();
    queue.add(late);
    queue.add(onTime);
    expect(queue.list(NOW)).to.deep.equal([onTime, late]);
    expect(queue.countLate(NOW)).to.equal(1);
  });

  it("says whether what it removes has waited", () => {
    const waiting = buildWaiting({});
    const queue = new WaitingQueue<string>();
    queue.add(waiting);
    expect(queue.remove(waiting)).to.equal(true);
    expect(queue.remove(waiting)).to.equal(false);
    expect(queue.size).to.equal(0);
  });
});

import { ManualClock } from "@rattanvane/base";
import { EndpointState } from "@rattanvane/limits";
import { PlacementReason, RefusalReason } from "@rattanvane/protocol";
import type { PoolStatus } from "@rattanvane/scheduling";
import { expect } from "chai";
import { describe, it } from "mocha";
import type { RouterMetrics } from "../router_metrics.ts";
import { createMetrics } from "../testing/fixtures.ts";

const POOL = { zone: "zone-a", service: "captions" };
const MINUTE_MILLISECONDS = 60_000;

function createPool(leased: boolean, endpoint: string): PoolStatus {
  return {
    pool: POOL,
    term: { number: 1, holder: "vm-a1" },
    leased,
    rebuilding: false,
    waiting: 0,
    running: 0,
    moving: 0,
    virtualTime: 0,
    endpoints: [{
      endpoint,
      state: EndpointState.Down,
      closed: false,
      limit: 4,
      outstanding: 3,
      foreign: 0,
    }],
    organisations: [],
  };
}

async function listLines(metrics: RouterMetrics, part: string) {
  const text = await metrics.registry.metrics();
  return text.split("\n").filter((line) =>
    line.startsWith("rattanvane_") && line.includes(part)
  );
}

describe("RouterMetrics", () => {
  it("has a series only for organisations that were active", async () => {
    const clock = new ManualClock();
    const metrics = createMetrics(clock);
    const { cost } = metrics.ingress;
    for (let number = 0; number < 12_000; number++) {
      cost.add({ organisation: `o${number}`, service: "captions" }, 1);
    }
    expect(await listLines(metrics, "cost_units")).to.have.lengthOf(1_000);
    await clock.advance(14 * MINUTE_MILLISECONDS);
    cost.add({ organisation: "o11999", service: "captions" }, 2);
    cost.add({ organisation: "o11999", service: "labels" }, 5);
    await clock.advance(2 * MINUTE_MILLISECONDS);
    const lines = await listLines(metrics, "cost_units");
    expect(lines.map((line) => line.split(" ").at(-1))).to.deep.equal([
      "3",
      "5",
    ]);
    await clock.advance(15 * MINUTE_MILLISECONDS);
    expect(await listLines(metrics, "cost_units")).to.deep.equal([]);
  });

  it("has the endpoints and leases of the pools of now", async () => {
    const pools = [createPool(true, "e1"), createPool(false, "e2")];
    const metrics = createMetrics(new ManualClock(), pools);
    const before = await listLines(metrics, "scheduler_");
    expect(before).to.include.members([
      "rattanvane_scheduler_pools_count 2",
      "rattanvane_scheduler_leased_pools_count 1",
      "rattanvane_scheduler_unleased_pools_count 1",
      'rattanvane_scheduler_endpoint_limit_requests{service="captions",endpoint="e1"} 4',
      'rattanvane_scheduler_endpoint_outstanding_requests{service="captions",endpoint="e1"} 3',
      'rattanvane_scheduler_endpoint_state_count{service="captions",endpoint="e2",state="down"} 1',
    ]);
    pools.pop();
    expect(await listLines(metrics, '"e2"')).to.deep.equal([]);
  });

  it("counts grants with their waiting time, and refusals", async () => {
    const metrics = createMetrics(new ManualClock());
    const reason = PlacementReason.LeastLoaded;
    metrics.scheduler.recordGrant(POOL, { reason, waitedMilliseconds: 250 });
    metrics.scheduler.recordRefusal(POOL, RefusalReason.QueueFull);
    expect(await listLines(metrics, "scheduler_")).to.include.members([
      'rattanvane_scheduler_grants_total{service="captions",reason="leastLoaded"} 1',
      'rattanvane_scheduler_waiting_seconds_sum{service="captions"} 0.25',
      'rattanvane_scheduler_refusals_total{service="captions",reason="queueFull"} 1',
    ]);
  });
});

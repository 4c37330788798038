import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import { buildRoute } from "../testing/fixtures.ts";
import { runPressingCallers } from "../testing/pressing_callers.ts";
import {
  RouterHarness,
  type RunningRouter,
  sendValidResponse,
  waitUntil,
} from "../testing/router_harness.ts";
import { SlowDialect } from "../testing/slow_dialect.ts";

/** With so many zones, two VMs of each are schedulers. */
const ZONES = ["zone-a", "zone-b", "zone-c", "zone-d", "zone-e"];
const MEMBERS = 8;
const SETTLING_MILLISECONDS = 2_000;
const CHECK_MILLISECONDS = 100;
const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;

const PRESSING_LOAD = {
  request: [
    "POST /a/x HTTP/1.1",
    "Host: one.example",
    "X-Key: key-1",
    "X-Request: pressing",
    "Content-Length: 4",
    "",
    "body",
  ].join("\r\n"),
  keptCallers: 240,
  retryMilliseconds: 300,
  newPerSecond: 300,
  patienceMilliseconds: 1_000,
  warmUpMilliseconds: 1_000,
  milliseconds: 4_000,
};

let harness = new RouterHarness();

/** Load: all callers of an organisation reach one VM of a large zone. */
describe("A VM whose callers saturate it", () => {
  beforeEach(() => {
    harness = new RouterHarness();
    harness.applyConfiguration({ routes: [buildRoute()] });
  });

  afterEach(() => harness.stop());

  it("leaves the rotation, alone, and returns", async () => {
    await harness.startEndpoint("e1", sendValidResponse);
    const first = await harness.startReadyRouter({ zones: ZONES, capacity: 2 });
    const seeds = [first.settings];
    const second = await harness.startReadyRouter({
      zones: ZONES,
      capacity: 2,
      seeds,
    });
    const members: RunningRouter[] = [];
    for (let index = 0; index < MEMBERS; index++) {
      const dialect = new SlowDialect();
      members.push(
        await harness.startReadyRouter({ zones: ZONES, seeds, dialect }),
      );
    }
    await new Promise((resolve) => setTimeout(resolve, SETTLING_MILLISECONDS));
    const pressed = members[0] as RunningRouter;
    const others = [first, second, ...members.slice(1)];
    const pressing = runPressingCallers({
      ...pressed.settings.callers,
      ...PRESSING_LOAD,
    });
    const statuses = await collectStatuses([pressed, ...others], pressing);
    expect(statuses.get(pressed)).to.include(STATUS_UNAVAILABLE);
    for (const other of others) {
      expect([...statuses.get(other) ?? []]).to.deep.equal([STATUS_OK]);
    }
    await waitUntil(async () =>
      await harness.readReadinessStatus(pressed) === STATUS_OK
    );
  });
});

/** Collects the statuses of readiness checks until the load ends. */
async function collectStatuses(
  routers: readonly RunningRouter[],
  load: Promise<unknown>,
): Promise<Map<RunningRouter, Set<number>>> {
  const statuses = new Map(
    routers.map((router) => [router, new Set<number>()]),
  );
  let hasEnded = false;
  void load.then(() => hasEnded = true);
  while (!hasEnded) {
    for (const router of routers) {
      statuses.get(router)?.add(await harness.readReadinessStatus(router));
    }
    await new Promise((resolve) => setTimeout(resolve, CHECK_MILLISECONDS));
  }
  return statuses;
}

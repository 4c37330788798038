import { ManualClock } from "@rattanvane/base";
import { formatPool, type VmId } from "@rattanvane/protocol";
import { expect } from "chai";
import { describe, it } from "mocha";
import { LeaseObserver, LeaseState } from "./lease_observer.ts";
import { type LeaseRow, NO_HOLDER } from "./lease_row.ts";
import { DEFAULT_OWNERSHIP_SETTINGS } from "./settings.ts";
import { createPool } from "./testing/ownership_fleet.ts";

const POOL = createPool("captions");
const LEASE_MILLISECONDS = DEFAULT_OWNERSHIP_SETTINGS.leaseMilliseconds;

interface Step {
  holder: VmId;
  version: number;
  live: boolean;
  /** Time since the previous step, in ms. */
  after?: number;
  /** Whether a renewal by this VM failed with a conflict before this read. */
  conflict?: boolean;
}

function createRow(step: Step): LeaseRow {
  const lease = {
    holder: step.holder,
    number: 1,
    claim: "claim",
    expiresAtWall: 0,
  };
  return { pool: POOL, lease, version: step.version };
}

async function judgeAfter(steps: readonly Step[]): Promise<LeaseState> {
  const clock = new ManualClock();
  let isLive = false;
  const observer = new LeaseObserver({
    self: "self",
    isLive: () => isLive,
    clock,
    settings: DEFAULT_OWNERSHIP_SETTINGS,
  });
  let state = observer.judge(POOL, undefined);
  for (const step of steps) {
    await clock.advance(step.after ?? 0);
    isLive = step.live;
    if (step.conflict === true) {
      observer.addConflict(POOL);
    }
    const row = createRow(step);
    observer.observe(new Map([[formatPool(POOL), row]]));
    state = observer.judge(POOL, row);
  }
  return state;
}

describe("LeaseObserver", () => {
  const { Free, Held, HeldElsewhere } = LeaseState;
  const live = { holder: "other", version: 1, live: true };
  const notLive = { holder: "other", version: 1, live: false };
  const cases: { title: string; steps: Step[]; state: LeaseState }[] = [
    { title: "an absent row", steps: [], state: Free },
    {
      title: "a released lease",
      steps: [{ ...live, holder: NO_HOLDER }],
      state: Free,
    },
    {
      title: "a lease from before this VM's restart",
      steps: [{ ...live, holder: "self" }],
      state: Free,
    },
    { title: "a lease of a live VM", steps: [live], state: Held },
    {
      title: "a live VM's lease that is not renewed",
      steps: [live, { ...live, after: LEASE_MILLISECONDS }],
      state: Free,
    },
    {
      title: "a live VM's lease that is renewed",
      steps: [live, { ...live, version: 2, after: LEASE_MILLISECONDS }],
      state: Held,
    },
    { title: "a lease of a dead VM", steps: [notLive], state: Free },
    {
      title: "a lease renewed before its holder died",
      steps: [live, { ...notLive, version: 2, after: 1_000 }],
      state: Free,
    },
    {
      title: "a lease renewed by an unreachable VM",
      steps: [notLive, { ...notLive, version: 2, after: 1_000 }],
      state: HeldElsewhere,
    },
    {
      title: "a lease taken by an unreachable VM",
      steps: [{ ...notLive, conflict: true }],
      state: HeldElsewhere,
    },
    {
      title: "a lease that its unreachable holder no longer renews",
      steps: [
        { ...notLive, conflict: true },
        { ...notLive, after: LEASE_MILLISECONDS },
      ],
      state: Free,
    },
    {
      title: "a lease of a VM that is reachable again",
      steps: [{ ...notLive, conflict: true }, { ...live, version: 2 }],
      state: Held,
    },
  ];
  for (const { title, steps, state } of cases) {
    it(`judges ${title} as ${state}`, async () => {
      expect(await judgeAfter(steps)).to.equal(state);
    });
  }
});

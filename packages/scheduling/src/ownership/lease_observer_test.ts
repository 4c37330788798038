import { ManualClock } from "@rattanvane/base";
import { formatPool, type VmId } from "@rattanvane/protocol";
import { expect } from "chai";
import { describe, it } from "mocha";
import { LeaseObserver, LeaseVerdict } from "./lease_observer.ts";
import { type LeaseRow, NO_HOLDER } from "./lease_row.ts";
import { DEFAULT_OWNERSHIP_SETTINGS } from "./settings.ts";
import { createPool } from "./testing/ownership_fleet.ts";

const POOL = createPool("captions");
const LEASE_MILLISECONDS = DEFAULT_OWNERSHIP_SETTINGS.leaseMilliseconds;

interface Step {
  holder: VmId;
  version: number;
  live: boolean;
  /** Time since the step before. */
  after?: number;
  /** Whether this VM's own renewal met a conflict before this read. */
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

async function judgeAfter(steps: readonly Step[]): Promise<LeaseVerdict> {
  const clock = new ManualClock();
  let isLive = false;
  const observer = new LeaseObserver({
    self: "self",
    isLive: () => isLive,
    clock,
    settings: DEFAULT_OWNERSHIP_SETTINGS,
  });
  let verdict = observer.judge(POOL, undefined);
  for (const step of steps) {
    await clock.advance(step.after ?? 0);
    isLive = step.live;
    if (step.conflict === true) {
      observer.addConflict(POOL);
    }
    const row = createRow(step);
    observer.observe(new Map([[formatPool(POOL), row]]));
    verdict = observer.judge(POOL, row);
  }
  return verdict;
}

describe("LeaseObserver", () => {
  const { Free, Held, HeldElsewhere } = LeaseVerdict;
  const live = { holder: "other", version: 1, live: true };
  const gone = { holder: "other", version: 1, live: false };
  const cases: { title: string; steps: Step[]; verdict: LeaseVerdict }[] = [
    { title: "an absent row", steps: [], verdict: Free },
    {
      title: "a released lease",
      steps: [{ ...live, holder: NO_HOLDER }],
      verdict: Free,
    },
    {
      title: "a lease of the own last life",
      steps: [{ ...live, holder: "self" }],
      verdict: Free,
    },
    { title: "a lease of a live VM", steps: [live], verdict: Held },
    {
      title: "a live VM's lease that nobody renews",
      steps: [live, { ...live, after: LEASE_MILLISECONDS }],
      verdict: Free,
    },
    {
      title: "a live VM's lease that is renewed",
      steps: [live, { ...live, version: 2, after: LEASE_MILLISECONDS }],
      verdict: Held,
    },
    { title: "a lease of a dead VM", steps: [gone], verdict: Free },
    {
      title: "a lease renewed before its holder died",
      steps: [live, { ...gone, version: 2, after: 1_000 }],
      verdict: Free,
    },
    {
      title: "a lease renewed by a VM that is not reached",
      steps: [gone, { ...gone, version: 2, after: 1_000 }],
      verdict: HeldElsewhere,
    },
    {
      title: "a lease that was taken by a VM that is not reached",
      steps: [{ ...gone, conflict: true }],
      verdict: HeldElsewhere,
    },
    {
      title: "a lease that its unreached holder no longer renews",
      steps: [
        { ...gone, conflict: true },
        { ...gone, after: LEASE_MILLISECONDS },
      ],
      verdict: Free,
    },
    {
      title: "a lease of a VM that is reached again",
      steps: [{ ...gone, conflict: true }, { ...live, version: 2 }],
      verdict: Held,
    },
  ];
  for (const { title, steps, verdict } of cases) {
    it(`judges ${title} as ${verdict}`, async () => {
      expect(await judgeAfter(steps)).to.equal(verdict);
    });
  }
});

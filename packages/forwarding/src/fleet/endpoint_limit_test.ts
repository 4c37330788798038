import { RandomSource } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { LimitedEndpoints } from "../testing/limited_endpoints.ts";
import { SimulatedFleet } from "../testing/simulated_fleet.ts";

const ENDPOINTS = 4;
const LIMITED = "endpoint-0";
const ZONES = 3;
const STEP_MILLISECONDS = 20;
const STARTUP_MILLISECONDS = 3_000;
/** Limits apply from this long after the first statement. */
const CONTACT_MILLISECONDS = 4_000;

interface Phase {
  milliseconds: number;
  /** Undefined for no limit. */
  requestsPerSecond: number | undefined;
}

interface ScenarioOptions {
  seed: number;
  vms: number;
  /** Requests a second in the fleet. */
  load: number;
  phases: Phase[];
  /** Called at the start of each phase after the first. */
  disturb?: (fleet: SimulatedFleet) => void;
}

/** Plays the phases and returns the endpoints with the start of each. */
async function runPhases(options: ScenarioOptions) {
  const { seed, vms, load, phases } = options;
  const fleet = new SimulatedFleet({
    seed,
    zones: ZONES,
    endpoints: ENDPOINTS,
  });
  await fleet.startAll(vms);
  await fleet.clock.advance(STARTUP_MILLISECONDS);
  const endpoints = new LimitedEndpoints(fleet.clock);
  const random = new RandomSource(seed);
  const starts: number[] = [];
  for (const [index, { milliseconds, requestsPerSecond }] of phases.entries()) {
    starts.push(fleet.clock.now());
    if (requestsPerSecond === undefined) {
      endpoints.limits.delete(LIMITED);
    } else {
      endpoints.limits.set(LIMITED, requestsPerSecond);
    }
    if (index > 0) {
      options.disturb?.(fleet);
    }
    const endsAt = fleet.clock.now() + milliseconds;
    while (fleet.clock.now() < endsAt) {
      const perStep = load * STEP_MILLISECONDS / 1_000;
      const due = Math.floor(perStep) +
        (random.nextFraction() < perStep % 1 ? 1 : 0);
      const live = [...fleet.vms.values()];
      for (let request = 0; request < due; request++) {
        // Half of the requests reach one VM.
        const index = random.nextFraction() < 0.5
          ? 0
          : random.nextInteger(0, live.length - 1);
        void endpoints.submit(live[index] as typeof live[number]);
      }
      await fleet.clock.advance(STEP_MILLISECONDS);
    }
  }
  starts.push(fleet.clock.now());
  fleet.stop();
  return { endpoints, starts };
}

for (const { vms, seed } of [{ vms: 6, seed: 1 }, { vms: 40, seed: 2 }]) {
  describe(`an endpoint that states a limit, ${vms} VMs (seed ${seed})`, () => {
    it("gets no more from all VMs together than it states", async () => {
      const { endpoints, starts } = await runPhases({
        seed,
        vms,
        load: 120,
        phases: [
          { milliseconds: 3_000, requestsPerSecond: undefined },
          { milliseconds: 14_000, requestsPerSecond: 12 },
        ],
      });
      const window = {
        from: (starts[1] ?? 0) + CONTACT_MILLISECONDS,
        to: starts[2] ?? 0,
      };
      expect(endpoints.computeExcess(LIMITED, 12, window)).to.be.at.most(0);
      expect(endpoints.countArrivals(LIMITED, window)).to.be.at.least(20);
    });

    it("gets less when its limit falls, and all again when it is lifted", async () => {
      const { endpoints, starts } = await runPhases({
        seed,
        vms,
        load: 120,
        phases: [
          { milliseconds: 8_000, requestsPerSecond: 20 },
          { milliseconds: 14_000, requestsPerSecond: 4 },
          { milliseconds: 12_000, requestsPerSecond: undefined },
        ],
      });
      const low = {
        from: (starts[1] ?? 0) + CONTACT_MILLISECONDS,
        to: starts[2] ?? 0,
      };
      expect(endpoints.computeExcess(LIMITED, 4, low)).to.be.at.most(0);
      const lifted = { from: (starts[3] ?? 0) - 4_000, to: starts[3] ?? 0 };
      expect(endpoints.countArrivals(LIMITED, lifted)).to.be.at.least(60);
    });

    it("is asked again after a limit of zero", async () => {
      const { endpoints, starts } = await runPhases({
        seed,
        vms,
        load: 120,
        phases: [
          { milliseconds: 12_000, requestsPerSecond: 0 },
          { milliseconds: 40_000, requestsPerSecond: undefined },
        ],
      });
      const limited = {
        from: CONTACT_MILLISECONDS + (starts[0] ?? 0),
        to: starts[1] ?? 0,
      };
      expect(endpoints.computeExcess(LIMITED, 0, limited)).to.be.at.most(0);
      const lifted = { from: (starts[2] ?? 0) - 4_000, to: starts[2] ?? 0 };
      expect(endpoints.countArrivals(LIMITED, lifted)).to.be.at.least(60);
    });

    it("gets no more while VMs end and schedulers change", async () => {
      const { endpoints, starts } = await runPhases({
        seed,
        vms,
        load: 120,
        phases: Array.from(
          { length: 5 },
          () => ({ milliseconds: 5_000, requestsPerSecond: 12 }),
        ),
        disturb: (fleet) => {
          const scheduler = [...fleet.vms.values()]
            .find((vm) => vm.fleet.isScheduler);
          if (scheduler !== undefined && fleet.vms.size > 4) {
            fleet.kill(scheduler);
          }
        },
      });
      const window = {
        from: (starts[0] ?? 0) + CONTACT_MILLISECONDS,
        to: starts.at(-1) ?? 0,
      };
      expect(endpoints.computeExcess(LIMITED, 12, window)).to.be.at.most(0);
    });
  });
}

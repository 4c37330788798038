import { RandomSource } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { OutcomeKind } from "../model/attempt_outcome.ts";
import { SimulatedEngines } from "../testing/simulated_engines.ts";
import { SimulatedFleet } from "../testing/simulated_fleet.ts";

const CONTACT_MILLISECONDS = 3_000;
const MAX_CRASHES = 5;
/** Requests with the part that may reach engines after the last crash. */
const MAX_LATE_REQUESTS = 3;
const STEP_MILLISECONDS = 20;
const STEPS = 1_500;
const SUBJECTS = 12;

const sizes: { vms: number; endpoints: number; seeds: number[] }[] = [
  { vms: 6, endpoints: 6, seeds: [1, 2, 3] },
  { vms: 40, endpoints: 12, seeds: [4] },
];

describe("a prompt part that crashes engines", () => {
  for (const { vms, endpoints, seeds } of sizes) {
    for (const seed of seeds) {
      it(`stops reaching engines, and sound requests with its other parts are served, at ${vms} VMs (seed ${seed})`, async () => {
        const fleet = new SimulatedFleet({ seed, zones: 3, endpoints });
        await fleet.startAll(vms);
        await fleet.clock.advance(4_000);
        const engines = new SimulatedEngines(
          fleet.clock,
          fleet.store,
          "deadly",
        );
        const random = new RandomSource(seed);
        const all = [...fleet.vms.values()];
        for (let step = 0; step < STEPS; step++) {
          const vm = all[random.nextInteger(0, all.length - 1)];
          const subject = `subject-${random.nextInteger(1, SUBJECTS)}`;
          const isDeadly = random.nextFraction() < 0.05;
          if (vm !== undefined) {
            const parts = ["system", subject, ...(isDeadly ? ["deadly"] : [])];
            void engines.submit(vm, parts);
          }
          await fleet.clock.advance(STEP_MILLISECONDS);
        }
        await fleet.clock.advance(5_000);
        const { crashTimes, results } = engines;
        const lastCrashAt = crashTimes.at(MAX_CRASHES - 1) ??
          crashTimes.at(-1) ?? 0;
        const late = results.filter(({ submittedAt, parts, outcome }) =>
          submittedAt > lastCrashAt + CONTACT_MILLISECONDS &&
          parts.includes("deadly") && outcome !== undefined
        );
        expect(crashTimes).to.not.have.lengthOf(0);
        expect(late.length).to.be.at.most(MAX_LATE_REQUESTS);
        const sound = results.filter(({ submittedAt, parts }) =>
          submittedAt > lastCrashAt + 2 * CONTACT_MILLISECONDS &&
          !parts.includes("deadly")
        );
        const served = sound.filter(({ outcome }) =>
          outcome === OutcomeKind.Answered
        );
        expect(sound.length).to.be.greaterThan(100);
        expect(served.length / sound.length).to.be.greaterThan(0.9);
        fleet.stop();
      });
    }
  }
});

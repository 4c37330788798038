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

/** How requests with the part differ from sound ones. */
interface Traffic {
  name: string;
  vms: number;
  endpoints: number;
  seeds: number[];
  pickShare: (random: RandomSource) => number;
  pickSubjects: (random: RandomSource) => number;
  /** The position of the part in a prompt that begins with two others. */
  pickPosition: (random: RandomSource) => number;
}

const RARE = {
  pickShare: () => 0.05,
  pickSubjects: () => 12,
  pickPosition: () => 2,
};

const FREQUENT = {
  pickShare: (random: RandomSource) => 0.02 + 0.1 * random.nextFraction(),
  pickSubjects: (random: RandomSource) => random.nextInteger(3, 30),
  pickPosition: (random: RandomSource) => random.nextInteger(1, 2),
};

const traffics: Traffic[] = [
  { name: "rare, 6 VMs", vms: 6, endpoints: 6, seeds: [1, 2, 3], ...RARE },
  { name: "rare, 40 VMs", vms: 40, endpoints: 12, seeds: [4], ...RARE },
  {
    name: "frequent, 6 VMs",
    vms: 6,
    endpoints: 6,
    seeds: [112, 113, 123, 149],
    ...FREQUENT,
  },
];

describe("a prompt part that crashes engines", () => {
  for (const traffic of traffics) {
    for (const seed of traffic.seeds) {
      it(`stops reaching engines, and sound requests with its other parts are served: ${traffic.name} (seed ${seed})`, async () => {
        const { endpoints, vms } = traffic;
        const fleet = new SimulatedFleet({ seed, zones: 3, endpoints });
        await fleet.startAll(vms);
        await fleet.clock.advance(4_000);
        const engines = new SimulatedEngines(
          fleet.clock,
          fleet.store,
          "deadly",
        );
        const random = new RandomSource(seed);
        const share = traffic.pickShare(random);
        const subjects = traffic.pickSubjects(random);
        const all = [...fleet.vms.values()];
        for (let step = 0; step < STEPS; step++) {
          const vm = all[random.nextInteger(0, all.length - 1)];
          const subject = `subject-${random.nextInteger(1, subjects)}`;
          const parts = ["system", subject];
          if (random.nextFraction() < share) {
            parts.splice(traffic.pickPosition(random), 0, "deadly");
          }
          if (vm !== undefined) {
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

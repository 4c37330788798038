import { expect } from "chai";
import { describe, it } from "mocha";
import {
  REQUEST_COST,
  SimulatedShares,
  type SimulatedUse,
} from "../testing/simulated_shares.ts";

const SETTLING_MILLISECONDS = 6_000;
/** The span and the fraction of the users' bound on fairness. */
const SPAN_MILLISECONDS = 6_000;
const MIN_FRACTION = 0.5;

function computeOwed(
  use: SimulatedUse,
  uses: ReadonlyMap<string, SimulatedUse>,
): number {
  const best = Math.max(...[...uses.values()].map(({ granted }) => granted));
  return Math.min(use.asked, best) * MIN_FRACTION;
}

/**
 * Load: engines that serve about twice the configured cost units a second; one
 * organisation asks for more than all of that at all schedulers, two for less
 * at one scheduler each, eight for little.
 */
describe("shares of spare capacity", () => {
  for (const seed of [1, 2, 3]) {
    it(`grants an organisation at one scheduler half of its demand beside one that floods all (seed ${seed})`, async () => {
      const simulation = new SimulatedShares({
        seed,
        schedulers: 9,
        engines: 20,
        slots: 16,
        costPerSecond: 270 * REQUEST_COST,
      });
      simulation.start([
        {
          organisation: "flood",
          requestsPerSecond: 1_000,
          schedulers: [0, 1, 2, 3, 4, 5, 6, 7, 8],
        },
        { organisation: "modest", requestsPerSecond: 170, schedulers: [0] },
        { organisation: "lesser", requestsPerSecond: 70, schedulers: [1] },
        ...Array.from({ length: 8 }, (_, index) => ({
          organisation: `small-${index}`,
          requestsPerSecond: 20,
          schedulers: [index + 1],
        })),
      ]);
      await simulation.clock.advance(SETTLING_MILLISECONDS);
      simulation.takeUses();
      await simulation.clock.advance(SPAN_MILLISECONDS);
      const uses = simulation.takeUses();
      simulation.stop();
      for (const [organisation, use] of uses) {
        expect(use.granted, organisation)
          .to.be.at.least(computeOwed(use, uses));
      }
    });
  }
});

import { expect } from "chai";
import { describe, it } from "mocha";
import {
  CostEstimator,
  DEFAULT_COST_ESTIMATOR_SETTINGS,
} from "./cost_estimator.ts";

function createEstimateOptions(hintedCost: number) {
  return { organisation: "a", service: "s", hintedCost, initialCost: 100 };
}

function createEstimator(): CostEstimator {
  return new CostEstimator(DEFAULT_COST_ESTIMATOR_SETTINGS);
}

describe("CostEstimator", () => {
  it("clamps a hint in both directions and ignores NaN", () => {
    const estimator = createEstimator();
    expect(estimator.estimate(createEstimateOptions(0))).to.equal(100);
    expect(estimator.estimate(createEstimateOptions(1))).to.equal(25);
    expect(estimator.estimate(createEstimateOptions(1e9))).to.equal(400);
    expect(estimator.estimate(createEstimateOptions(Number.NaN))).to.equal(100);
  });

  for (const hint of [1, 1e9]) {
    it(`outweighs a false hint of ${hint} by observed costs`, () => {
      const estimator = createEstimator();
      for (let count = 0; count < 60; count++) {
        estimator.recordCost("a", { service: "s", cost: 200 });
      }
      const estimate = estimator.estimate(createEstimateOptions(hint));
      expect(estimate).to.be.within(195, 205);
    });
  }

  it("adapts to a change of costs", () => {
    const estimator = createEstimator();
    for (let count = 0; count < 300; count++) {
      const cost = count < 200 ? 10 : 500;
      estimator.recordCost("a", { service: "s", cost });
    }
    expect(estimator.estimate(createEstimateOptions(0))).to.be.above(490);
  });

  it("keeps a separate average for each organisation and service", () => {
    const estimator = createEstimator();
    estimator.recordCost("a", { service: "other", cost: 900 });
    estimator.recordCost("b", { service: "s", cost: 900 });
    expect(estimator.estimate(createEstimateOptions(0))).to.equal(100);
  });
});

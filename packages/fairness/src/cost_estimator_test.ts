import { expect } from "chai";
import { describe, it } from "mocha";
import {
  CostEstimator,
  DEFAULT_COST_ESTIMATOR_SETTINGS,
} from "./cost_estimator.ts";

function createQuestion(hintedCost: number) {
  return { organisation: "a", service: "s", hintedCost, initialCost: 100 };
}

function createEstimator(): CostEstimator {
  return new CostEstimator(DEFAULT_COST_ESTIMATOR_SETTINGS);
}

describe("CostEstimator", () => {
  it("bounds what a hint says in both directions", () => {
    const estimator = createEstimator();
    expect(estimator.estimate(createQuestion(0))).to.equal(100);
    expect(estimator.estimate(createQuestion(1))).to.equal(25);
    expect(estimator.estimate(createQuestion(1e9))).to.equal(400);
    expect(estimator.estimate(createQuestion(Number.NaN))).to.equal(100);
  });

  for (const hint of [1, 1e9]) {
    it(`takes influence from a lying hint of ${hint}`, () => {
      const estimator = createEstimator();
      for (let count = 0; count < 60; count++) {
        estimator.recordCost("a", { service: "s", cost: 200 });
      }
      const estimate = estimator.estimate(createQuestion(hint));
      expect(estimate).to.be.within(195, 205);
    });
  }

  it("follows a change of the costs", () => {
    const estimator = createEstimator();
    for (let count = 0; count < 300; count++) {
      const cost = count < 200 ? 10 : 500;
      estimator.recordCost("a", { service: "s", cost });
    }
    expect(estimator.estimate(createQuestion(0))).to.be.above(490);
  });

  it("keeps organisations and services apart", () => {
    const estimator = createEstimator();
    estimator.recordCost("a", { service: "other", cost: 900 });
    estimator.recordCost("b", { service: "s", cost: 900 });
    expect(estimator.estimate(createQuestion(0))).to.equal(100);
  });
});

import { RandomSource } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { computePairs, PrefillModel } from "./prefill_model.ts";

const OVERHEAD_MILLISECONDS = 53;
const MILLISECONDS_PER_TOKEN = 1 / 140;
const MILLISECONDS_PER_MILLION_PAIRS = 0.295;

function computeActualMilliseconds(tokens: number, pairs: number): number {
  return OVERHEAD_MILLISECONDS + tokens * MILLISECONDS_PER_TOKEN +
    pairs * MILLISECONDS_PER_MILLION_PAIRS;
}

describe("PrefillModel", () => {
  it("fits an engine's prefill times from noisy samples", () => {
    const random = new RandomSource(3);
    const model = new PrefillModel(0.02);
    for (let sample = 0; sample < 600; sample++) {
      const tokens = random.nextInteger(100, 20_000);
      const pairs = computePairs(tokens, tokens + random.nextInteger(0, 6_000));
      const noise = 0.9 + 0.2 * random.nextFraction();
      model.addSample(
        { tokens, pairs },
        computeActualMilliseconds(tokens, pairs) * noise,
      );
    }
    for (const tokens of [1_000, 8_000, 30_000]) {
      const pairs = computePairs(tokens, tokens);
      const predicted = model.overheadMilliseconds +
        model.predictPrefill(tokens, pairs);
      expect(predicted / computeActualMilliseconds(tokens, pairs)).to.be.within(
        0.75,
        1.25,
      );
    }
  });

  it("never predicts a negative time", () => {
    const model = new PrefillModel(0.02);
    for (let sample = 0; sample < 100; sample++) {
      model.addSample({ tokens: sample * 100, pairs: 0 }, 5);
    }
    const prefill = model.predictPrefill(10_000, 50);
    expect(prefill).to.be.greaterThan(0);
  });
});

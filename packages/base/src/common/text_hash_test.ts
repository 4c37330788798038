import { expect } from "chai";
import { describe, it } from "mocha";
import { computePairScore, hashText } from "./text_hash.ts";

const CANDIDATES = Array.from(
  { length: 10 },
  (_, index) => hashText(`engine-${index}`),
);

function findBest(key: string, candidates: readonly number[]): number {
  const scores = candidates.map((hash) =>
    computePairScore(hashText(key), hash)
  );
  return scores.indexOf(Math.max(...scores));
}

describe("text hashes", () => {
  it("give the FNV-1a values of the reference", () => {
    expect(hashText("")).to.equal(0x811c9dc5);
    expect(hashText("a")).to.equal(0xe40c292c);
    expect(hashText("foobar")).to.equal(0xbf9cf968);
  });

  it("spread keys evenly over the candidates", () => {
    const keys = 10_000;
    const counts = CANDIDATES.map(() => 0);
    for (let key = 0; key < keys; key++) {
      const best = findBest(`part-${key}`, CANDIDATES);
      counts[best] = (counts[best] ?? 0) + 1;
    }
    for (const count of counts) {
      expect(count).to.be.within(
        0.85 * keys / CANDIDATES.length,
        1.15 * keys / CANDIDATES.length,
      );
    }
  });

  it("move only the keys of a candidate that is removed", () => {
    const remaining = CANDIDATES.slice(0, -1);
    for (let key = 0; key < 500; key++) {
      const best = findBest(`part-${key}`, CANDIDATES);
      if (best < remaining.length) {
        expect(findBest(`part-${key}`, remaining)).to.equal(best);
      }
    }
  });
});

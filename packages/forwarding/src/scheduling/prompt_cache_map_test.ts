import { expect } from "chai";
import { describe, it } from "mocha";
import { buildPrompt } from "../testing/fixtures.ts";
import { findAffinityPart, PromptCacheMap } from "./prompt_cache_map.ts";

const LIMITS = { memoryTokens: 100_000 };

describe("PromptCacheMap", () => {
  it("caches the shared parts of a prompt, but not its own part", () => {
    const cache = new PromptCacheMap();
    expect(cache.countMissingTokens(buildPrompt("a", 300))).to.equal(5_000);
    cache.record(buildPrompt("a", 300), LIMITS);
    expect(cache.countMissingTokens(buildPrompt("a", 900))).to.equal(0);
    expect(cache.countMissingTokens(buildPrompt("b", 300))).to.equal(5_000);
  });

  it("counts a part as missing if an earlier part is missing", () => {
    const cache = new PromptCacheMap();
    const first = { id: "first", tokens: 100 };
    const second = { id: "second", tokens: 200 };
    const own = { id: "own", tokens: 1 };
    const build = (parts: { id: string; tokens: number }[]) => ({
      tokens: 0,
      outputTokens: 0,
      parts,
    });
    cache.record(build([second, own]), LIMITS);
    expect(cache.countMissingTokens(build([first, second, own]))).to.equal(300);
  });

  it("evicts the oldest parts beyond the memory limit", () => {
    const cache = new PromptCacheMap();
    for (let part = 0; part < 20; part++) {
      cache.record(buildPrompt(`part-${part}`, 1), LIMITS);
    }
    expect(cache.countMissingTokens(buildPrompt("part-0", 1))).to.equal(5_000);
    expect(cache.countMissingTokens(buildPrompt("part-19", 1))).to.equal(0);
  });

  // Parts of a few tokens filled the heap and ended the process.
  it("evicts the oldest parts beyond the memory of this VM, however few tokens they have", () => {
    const cache = new PromptCacheMap();
    const maxBytes = 10_000;
    for (let part = 0; part < 1_000; part++) {
      const parts = [0, 1, 2].map((tokens) => ({
        id: `${part} ${tokens} ${"x".repeat(part % 20)}`,
        tokens,
      }));
      cache.record({ tokens: 0, outputTokens: 0, parts }, {
        ...LIMITS,
        maxBytes,
      });
      expect(cache.bytes).to.be.at.most(maxBytes);
    }
  });

  it("uses the last shared part for affinity", () => {
    expect(findAffinityPart(buildPrompt("a", 1))?.id).to.equal("a");
  });
});

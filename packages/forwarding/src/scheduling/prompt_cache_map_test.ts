import { expect } from "chai";
import { describe, it } from "mocha";
import { buildPrompt } from "../testing/fixtures.ts";
import { findHomePart, PromptCacheMap } from "./prompt_cache_map.ts";

const MEMORY_TOKENS = 100_000;

describe("PromptCacheMap", () => {
  it("knows the shared parts that were read, and not the own one", () => {
    const cache = new PromptCacheMap();
    expect(cache.countMissing(buildPrompt("a", 300))).to.equal(5_000);
    cache.record(buildPrompt("a", 300), MEMORY_TOKENS);
    expect(cache.countMissing(buildPrompt("a", 900))).to.equal(0);
    expect(cache.countMissing(buildPrompt("b", 300))).to.equal(5_000);
  });

  it("counts a part as missing when one before it is", () => {
    const cache = new PromptCacheMap();
    const first = { id: "first", tokens: 100 };
    const second = { id: "second", tokens: 200 };
    const own = { id: "own", tokens: 1 };
    const build = (parts: { id: string; tokens: number }[]) => ({
      tokens: 0,
      outputTokens: 0,
      parts,
    });
    cache.record(build([second, own]), MEMORY_TOKENS);
    expect(cache.countMissing(build([first, second, own]))).to.equal(300);
  });

  it("forgets the oldest parts when memory is short", () => {
    const cache = new PromptCacheMap();
    for (let part = 0; part < 20; part++) {
      cache.record(buildPrompt(`part-${part}`, 1), MEMORY_TOKENS);
    }
    expect(cache.countMissing(buildPrompt("part-0", 1))).to.equal(5_000);
    expect(cache.countMissing(buildPrompt("part-19", 1))).to.equal(0);
  });

  it("keeps requests together by the last part that they share", () => {
    expect(findHomePart(buildPrompt("a", 1))?.id).to.equal("a");
  });
});

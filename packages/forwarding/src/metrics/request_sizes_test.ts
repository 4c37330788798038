import { expect } from "chai";
import { describe, it } from "mocha";
import { RequestSizes, SizeRank } from "./request_sizes.ts";

describe("RequestSizes", () => {
  it("ranks a request among the latest ones of its route", () => {
    const sizes = new RequestSizes();
    for (let index = 0; index < 1_000; index++) {
      sizes.rank("small", index % 100);
      sizes.rank("large", 100 + index % 100);
    }
    expect(sizes.rank("small", 95)).to.equal(SizeRank.LargestTenth);
    expect(sizes.rank("small", 75)).to.equal(SizeRank.NextFifth);
    expect(sizes.rank("small", 40)).to.equal(SizeRank.Usual);
    expect(sizes.rank("large", 140)).to.equal(SizeRank.Usual);
  });

  it("gives no rank before enough requests are known", () => {
    const sizes = new RequestSizes();
    expect(sizes.rank("route", 7)).to.equal(SizeRank.Unknown);
  });

  it("forgets the sizes of a route that no longer exists", () => {
    const sizes = new RequestSizes();
    for (let index = 0; index < 100; index++) {
      sizes.rank("route", index);
    }
    sizes.retain(new Set(["other"]));
    expect(sizes.rank("route", 99)).to.equal(SizeRank.Unknown);
  });
});

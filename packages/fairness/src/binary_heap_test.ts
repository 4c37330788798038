import { expect } from "chai";
import fc from "fast-check";
import { describe, it } from "mocha";
import { BinaryHeap } from "./binary_heap.ts";

interface Item {
  rank: number;
}

describe("BinaryHeap", () => {
  it("returns the lowest item after any sequence of operations", () => {
    const steps = fc.array(fc.tuple(fc.nat(2), fc.nat(30), fc.nat(99)));
    const property = fc.property(steps, (operations) => {
      const heap = new BinaryHeap<Item>(
        (first, second) => first.rank - second.rank,
      );
      const items: Item[] = [];
      for (const [action, index, rank] of operations) {
        const item = items[index];
        if (action === 0 || item === undefined) {
          items.push({ rank });
          heap.add(items.at(-1) as Item);
        } else if (action === 1) {
          items.splice(index, 1);
          heap.remove(item);
        } else {
          item.rank = rank;
          heap.update(item);
        }
        const lowest = Math.min(...items.map((other) => other.rank));
        expect(heap.first?.rank ?? Infinity).to.equal(lowest);
        expect(heap.size).to.equal(items.length);
      }
    });
    fc.assert(property, { seed: 11, numRuns: 300 });
  });
});

import { expect } from "chai";
import { describe, it } from "mocha";
import { Rendezvous } from "./rendezvous.ts";
import { createContact, createPool } from "./testing/ownership_fleet.ts";

describe("Rendezvous", () => {
  const pools = Array.from(
    { length: 200 },
    (_, index) => createPool(`service-${index}`),
  );
  const vms = ["vm-0", "vm-1", "vm-2", "vm-3"].map(createContact);

  it("moves only the pools of a VM that leaves", () => {
    const rendezvous = new Rendezvous();
    const remaining = vms.slice(1);
    for (const pool of pools) {
      const before = rendezvous.pick(pool, vms)?.vm;
      const after = rendezvous.pick(pool, remaining)?.vm;
      if (before !== "vm-0") {
        expect(after).to.equal(before);
      }
    }
  });

  it("assigns each VM its share regardless of the order of the list", () => {
    const rendezvous = new Rendezvous();
    const counts = new Map<string, number>();
    for (const pool of pools) {
      const vm = rendezvous.pick(pool, vms)?.vm ?? "";
      expect(rendezvous.pick(pool, [...vms].reverse())?.vm).to.equal(vm);
      counts.set(vm, (counts.get(vm) ?? 0) + 1);
    }
    for (const vm of vms) {
      expect(counts.get(vm.vm)).to.be.within(30, 70);
    }
  });
});

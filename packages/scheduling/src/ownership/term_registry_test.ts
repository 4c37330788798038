import type { PoolTerm, VmId } from "@rattanvane/protocol";
import { expect } from "chai";
import { describe, it } from "mocha";
import { TermRegistry } from "./term_registry.ts";
import { createContact, createPool } from "./testing/ownership_fleet.ts";

function createTerm(number: number, holder: VmId): PoolTerm {
  return {
    pool: createPool("captions"),
    term: { number, holder },
    contact: createContact(holder),
  };
}

describe("TermRegistry", () => {
  it("keeps the highest term regardless of the order of arrival", () => {
    const book = new TermRegistry();
    const emitted: number[] = [];
    const { signal } = new AbortController();
    book.changes.listen(({ term }) => emitted.push(term.number), signal);
    expect(book.record(createTerm(2, "vm-1"))).to.equal(true);
    expect(book.record(createTerm(1, "vm-2"))).to.equal(false);
    expect(book.record(createTerm(2, "vm-0"))).to.equal(false);
    expect(book.record(createTerm(2, "vm-1"))).to.equal(false);
    expect(book.record(createTerm(2, "vm-2"))).to.equal(true);
    expect(book.find(createPool("captions"))?.term.holder).to.equal("vm-2");
    expect(emitted).to.deep.equal([2, 2]);
  });

  it("distinguishes older terms from the highest one", () => {
    const book = new TermRegistry();
    const pool = createPool("captions");
    expect(book.isCurrent(pool, { number: 1, holder: "vm-1" })).to.equal(true);
    book.record(createTerm(2, "vm-1"));
    expect(book.isCurrent(pool, { number: 1, holder: "vm-9" })).to.equal(false);
    expect(book.isCurrent(pool, { number: 2, holder: "vm-1" })).to.equal(true);
    expect(book.isCurrent(pool, { number: 3, holder: "vm-0" })).to.equal(true);
  });

  it("removes pools that are no longer configured", () => {
    const book = new TermRegistry();
    book.record(createTerm(2, "vm-1"));
    book.retainOnly([createPool("labels")]);
    expect(book.list()).to.deep.equal([]);
  });
});

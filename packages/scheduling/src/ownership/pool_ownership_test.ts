import { expect } from "chai";
import { describe, it } from "mocha";
import type { PoolId, VmId } from "@rattanvane/protocol";
import { LossReason } from "./ownership_listener.ts";
import { DEFAULT_OWNERSHIP_SETTINGS } from "./settings.ts";
import {
  createContact,
  HeardKind,
  OwnershipFleet,
  type OwnershipVm,
} from "./testing/ownership_fleet.ts";

const SERVICES = ["captions", "labels", "mock-ups", "plans", "print", "stock"];
const START_MILLISECONDS = 4_000;
const LEASE_MILLISECONDS = DEFAULT_OWNERSHIP_SETTINGS.leaseMilliseconds;
const JOIN_MILLISECONDS = DEFAULT_OWNERSHIP_SETTINGS.joinDelayMilliseconds +
  2_000;

interface Scenario {
  fleet: OwnershipFleet;
  vms: OwnershipVm[];
  names: VmId[];
}

async function runScenario(
  count: number,
  test: (scenario: Scenario) => Promise<void>,
): Promise<void> {
  const fleet = new OwnershipFleet({ seed: 1, services: SERVICES });
  const names = Array.from({ length: count }, (_, index) => `vm-${index}`);
  try {
    await test({ fleet, vms: fleet.startAll(names), names });
  } finally {
    fleet.stop();
  }
}

function checkOneHolderEach(
  fleet: OwnershipFleet,
  options: { leased: boolean },
): void {
  for (const pool of fleet.pools) {
    const holders = fleet.listHolders(pool);
    expect(holders.map((vm) => vm.contact.vm), pool.service).to.have.length(1);
    expect(findHeld(holders[0] as OwnershipVm, pool)?.leased).to.equal(
      options.leased,
    );
  }
}

function findHeld(vm: OwnershipVm, pool: PoolId) {
  return vm.ownership.listHeld().find((held) =>
    held.pool.service === pool.service
  );
}

function findHolder(fleet: OwnershipFleet): OwnershipVm {
  return fleet.listHolders(fleet.pools[0] as PoolId)[0] as OwnershipVm;
}

async function readLease(fleet: OwnershipFleet, pool: PoolId) {
  const { signal } = new AbortController();
  const row = await fleet.table.read(
    `lease/${pool.zone}/${pool.service}`,
    signal,
  );
  return JSON.parse(row._unsafeUnwrap()?.value ?? "{}") as {
    holder: VmId;
    number: number;
  };
}

describe("PoolOwnership", () => {
  it("gives each pool one holder with a batched lease", () =>
    runScenario(3, async ({ fleet, vms }) => {
      await fleet.clock.advance(3_000);
      checkOneHolderEach(fleet, { leased: true });
      const writers = vms.filter((vm) => vm.ownership.listHeld().length > 0);
      expect(writers.length).to.be.at.least(2);
      expect(fleet.faults.writes).to.equal(writers.length);
      expect(fleet.faults.reads).to.equal(writers.length);
      await fleet.clock.advance(LEASE_MILLISECONDS * 10);
      expect(fleet.heard).to.have.length(SERVICES.length);
      const renewals = fleet.faults.writes - writers.length;
      expect(renewals).to.be.within(
        writers.length * 24,
        writers.length * 31,
      );
    }));

  it("takes over from a killed holder under a higher term", () =>
    runScenario(3, async ({ fleet, names }) => {
      await fleet.clock.advance(START_MILLISECONDS);
      const victim = findHolder(fleet).contact.vm;
      const lost = fleet.listHeard(0, victim);
      fleet.kill(victim);
      await fleet.clock.advance(2_000);
      const rest = names.filter((vm) => vm !== victim);
      const seenAt = fleet.clock.now();
      fleet.setView(rest, rest);
      await fleet.clock.advance(100);
      checkOneHolderEach(fleet, { leased: true });
      const taken = fleet.listHeard(seenAt);
      expect(taken).to.have.length(lost.length);
      for (const heard of taken) {
        expect(heard).to.include({ number: 2, previousHolder: victim });
      }
    }));

  it("gives up everything first when it wakes after its lease", () =>
    runScenario(3, async ({ fleet, names }) => {
      await fleet.clock.advance(START_MILLISECONDS);
      const frozen = findHolder(fleet);
      const { vm } = frozen.contact;
      const held = frozen.ownership.listHeld();
      frozen.clock.freeze();
      await fleet.clock.advance(2_000);
      fleet.setView(
        names.filter((name) => name !== vm),
        names.filter((name) => name !== vm),
      );
      await fleet.clock.advance(LEASE_MILLISECONDS * 2);
      const wokenAt = fleet.clock.now();
      for (const { pool } of held) {
        expect(frozen.ownership.findTerm(pool)).to.equal(undefined);
      }
      frozen.clock.thaw();
      await fleet.clock.advance(100);
      const heard = fleet.listHeard(wokenAt, vm);
      expect(heard.map(({ kind }) => kind)).to.deep.equal(
        held.map(() => HeardKind.Lost),
      );
      expect(heard[0]?.reason).to.equal(LossReason.Paused);
      fleet.setView(names, names);
      await fleet.clock.advance(JOIN_MILLISECONDS);
      checkOneHolderEach(fleet, { leased: true });
      expect(frozen.ownership.listHeld()).to.have.length(held.length);
    }));

  describe("cut zone", () => {
    for (const outage of [true, false]) {
      it(`goes on in both halves and then in one (outage: ${outage})`, () =>
        runScenario(4, async ({ fleet, names }) => {
          fleet.faults.outage = outage;
          await fleet.clock.advance(START_MILLISECONDS);
          const sides = [names.slice(0, 2), names.slice(2)];
          sides.forEach((side) => fleet.setView(side, side));
          await fleet.clock.advance(10_000);
          const writes = fleet.faults.writes;
          const settledAt = fleet.clock.now();
          await fleet.clock.advance(60_000);
          for (const pool of fleet.pools) {
            const holders = fleet.listHolders(pool);
            expect(holders).to.have.length(2);
            const leased = holders.filter((vm) => findHeld(vm, pool)?.leased);
            expect(leased).to.have.length(outage ? 0 : 1);
          }
          expect(fleet.listHeard(settledAt)).to.deep.equal([]);
          expect(fleet.faults.writes - writes).to.be.at.most(4 * 31);
          const healedAt = fleet.clock.now();
          fleet.setView(names, names);
          await fleet.clock.advance(1_000);
          for (const pool of fleet.pools) {
            expect(fleet.listHolders(pool)).to.have.length(1);
          }
          const lost = fleet.listHeard(healedAt)
            .filter(({ kind }) => kind === HeardKind.Lost);
          expect(lost).to.have.length(SERVICES.length);
          await fleet.clock.advance(JOIN_MILLISECONDS + LEASE_MILLISECONDS);
          checkOneHolderEach(fleet, { leased: !outage });
        }));
    }
  });

  describe("platform outage", () => {
    it("starts under local terms, and raises them when it ends", () =>
      runScenario(3, async ({ fleet }) => {
        fleet.faults.outage = true;
        await fleet.clock.advance(START_MILLISECONDS);
        checkOneHolderEach(fleet, { leased: false });
        await fleet.clock.advance(60_000);
        expect(fleet.heard).to.have.length(SERVICES.length);
        fleet.faults.outage = false;
        await fleet.clock.advance(LEASE_MILLISECONDS);
        checkOneHolderEach(fleet, { leased: true });
        for (const pool of fleet.pools) {
          expect((await readLease(fleet, pool)).number).to.equal(2);
        }
      }));

    it("goes on when it begins in the middle of a lease", () =>
      runScenario(3, async ({ fleet }) => {
        await fleet.clock.advance(START_MILLISECONDS);
        const beganAt = fleet.clock.now();
        fleet.faults.outage = true;
        await fleet.clock.advance(LEASE_MILLISECONDS * 2);
        checkOneHolderEach(fleet, { leased: false });
        fleet.faults.outage = false;
        await fleet.clock.advance(LEASE_MILLISECONDS);
        checkOneHolderEach(fleet, { leased: true });
        const heard = fleet.listHeard(beganAt);
        expect(heard.map(({ kind, number }) => `${kind} ${number}`)).to.deep
          .equal(heard.map(() => `${HeardKind.TermChanged} 1`));
        expect(heard).to.have.length(SERVICES.length * 2);
      }));

    it("takes over from a killed holder under a higher local term", () =>
      runScenario(3, async ({ fleet, names }) => {
        await fleet.clock.advance(START_MILLISECONDS);
        fleet.faults.outage = true;
        const victim = findHolder(fleet).contact.vm;
        fleet.kill(victim);
        const rest = names.filter((vm) => vm !== victim);
        const seenAt = fleet.clock.now();
        fleet.setView(rest, rest);
        await fleet.clock.advance(4_000);
        const taken = fleet.listHeard(seenAt)
          .filter(({ kind }) => kind === HeardKind.Acquired);
        expect(taken).to.not.have.length(0);
        for (const heard of taken) {
          expect(heard).to.include({ number: 2, leased: false });
        }
        for (const pool of fleet.pools) {
          expect(fleet.listHolders(pool)).to.have.length(1);
        }
      }));

    it("hands pools to a VM that joins, without a lease", () =>
      runScenario(2, async ({ fleet, names }) => {
        fleet.faults.outage = true;
        await fleet.clock.advance(START_MILLISECONDS);
        const all = [...names, "vm-2"];
        const joined = fleet.start("vm-2", all);
        fleet.setView(names, all);
        await fleet.clock.advance(JOIN_MILLISECONDS + LEASE_MILLISECONDS);
        checkOneHolderEach(fleet, { leased: false });
        expect(joined.ownership.listHeld()).to.not.have.length(0);
      }));
  });

  describe("lost answers", () => {
    const cases = [
      { title: "of the first write", lostAt: 0 },
      { title: "of a renewal", lostAt: START_MILLISECONDS },
    ];
    for (const { title, lostAt } of cases) {
      it(`resolves a lost answer ${title} by reading the row`, () =>
        runScenario(3, async ({ fleet }) => {
          await fleet.clock.advance(lostAt);
          fleet.faults.lostAnswers = 3;
          await fleet.clock.advance(START_MILLISECONDS + LEASE_MILLISECONDS);
          expect(fleet.faults.lostAnswers).to.equal(0);
          checkOneHolderEach(fleet, { leased: true });
          expect(fleet.heard).to.have.length(SERVICES.length);
          for (const pool of fleet.pools) {
            expect((await readLease(fleet, pool)).number).to.equal(1);
          }
        }));
    }

    it("keeps its roles while every answer comes too late", () =>
      runScenario(3, async ({ fleet }) => {
        await fleet.clock.advance(START_MILLISECONDS);
        const slowAt = fleet.clock.now();
        fleet.faults.delayMilliseconds = 5_000;
        await fleet.clock.advance(60_000);
        const lost = fleet.listHeard(slowAt).filter(({ kind }) =>
          kind === HeardKind.Lost
        );
        expect(lost).to.deep.equal([]);
        fleet.faults.delayMilliseconds = 0;
        await fleet.clock.advance(LEASE_MILLISECONDS * 2);
        checkOneHolderEach(fleet, { leased: true });
      }));
  });

  it("lets one of two racing VMs have the lease", async () => {
    const fleet = new OwnershipFleet({ seed: 2, services: SERVICES });
    fleet.start("vm-0", ["vm-0"]);
    fleet.start("vm-1", ["vm-1"]);
    await fleet.clock.advance(START_MILLISECONDS + LEASE_MILLISECONDS * 2);
    for (const pool of fleet.pools) {
      const leased = fleet.listHolders(pool).filter((vm) =>
        findHeld(vm, pool)?.leased
      );
      expect(leased).to.have.length(1);
      const row = await readLease(fleet, pool);
      expect(row.holder).to.equal(leased[0]?.contact.vm);
    }
    const numbers = fleet.heard.filter(({ leased }) => leased === true)
      .map(({ pool, number }) => `${pool} ${number}`);
    expect(new Set(numbers).size).to.equal(numbers.length);
    fleet.stop();
  });

  it("hands over when it leaves, and takes nothing any more", () =>
    runScenario(3, async ({ fleet, names }) => {
      await fleet.clock.advance(START_MILLISECONDS);
      const leaving = findHolder(fleet);
      const held = leaving.ownership.listHeld();
      const leftAt = fleet.clock.now();
      const rest = names.filter((vm) => vm !== leaving.contact.vm);
      await leaving.ownership.handOverAll(leaving.stop.signal);
      for (const { pool } of held) {
        expect((await readLease(fleet, pool)).holder).to.equal("");
      }
      fleet.setView(names, rest);
      await fleet.clock.advance(100);
      const heard = fleet.listHeard(leftAt);
      const handed = heard.filter(({ kind }) => kind === HeardKind.HandedOver);
      expect(handed).to.have.length(held.length);
      for (const { pool, to } of handed) {
        const taken = heard.find((other) =>
          other.kind === HeardKind.Acquired && other.pool === pool
        );
        expect(taken).to.include({ vm: to, number: 2, leased: true });
      }
      await fleet.clock.advance(30_000);
      expect(leaving.ownership.listHeld()).to.deep.equal([]);
      checkOneHolderEach(fleet, { leased: true });
    }));

  it("takes nothing by an answer that comes after it began to leave", () =>
    runScenario(3, async ({ fleet, vms, names }) => {
      fleet.faults.delayMilliseconds = 400;
      await fleet.clock.advance(2_600);
      expect(fleet.faults.writes).to.equal(3);
      const [leaving] = vms as [OwnershipVm];
      await leaving.ownership.handOverAll(leaving.stop.signal);
      fleet.setView(names, names.slice(1));
      await fleet.clock.advance(START_MILLISECONDS);
      expect(fleet.listHeard(0, "vm-0")).to.deep.equal([]);
      checkOneHolderEach(fleet, { leased: true });
    }));

  it("keeps every pool served while all VMs are replaced", () =>
    runScenario(3, async ({ fleet, names }) => {
      await fleet.clock.advance(START_MILLISECONDS);
      let live = names;
      const begunAt = fleet.clock.now();
      for (const old of names) {
        const replacement = `${old}-new`;
        const all = [...live, replacement];
        fleet.start(replacement, all);
        fleet.setView(live, all);
        await fleet.clock.advance(JOIN_MILLISECONDS);
        const leaving = fleet.vms.get(old) as OwnershipVm;
        await leaving.ownership.handOverAll(leaving.stop.signal);
        live = all.filter((vm) => vm !== old);
        fleet.setView(all, live);
        await fleet.clock.advance(500);
        fleet.kill(old);
      }
      checkOneHolderEach(fleet, { leased: true });
      const longest = computeLongestGap(fleet, begunAt);
      expect(longest).to.be.at.most(
        DEFAULT_OWNERSHIP_SETTINGS.tickMilliseconds,
      );
    }));

  it("gives up a pool that was removed, and raises a term of its last life", () =>
    runScenario(1, async ({ fleet, vms }) => {
      await fleet.clock.advance(START_MILLISECONDS);
      const [only] = vms as [OwnershipVm];
      const [removed, kept] = fleet.pools as [PoolId, PoolId];
      fleet.pools = fleet.pools.slice(1);
      only.terms.learn({
        pool: kept,
        term: { number: 9, holder: "vm-0" },
        contact: createContact("vm-0"),
      });
      await fleet.clock.advance(2_000);
      expect(findHeld(only, removed)).to.equal(undefined);
      expect(findHeld(only, kept)?.term.number).to.equal(10);
      expect((await readLease(fleet, removed)).holder).to.equal("");
    }));
});

/** Computes the longest time in which a pool had no holder. */
function computeLongestGap(fleet: OwnershipFleet, since: number): number {
  let longest = 0;
  for (const { service } of fleet.pools) {
    let freeAt: number | undefined;
    for (const heard of fleet.listHeard(since)) {
      if (heard.pool !== service) {
        continue;
      }
      if (heard.kind === HeardKind.Acquired && freeAt !== undefined) {
        longest = Math.max(longest, heard.at - freeAt);
        freeAt = undefined;
      }
      if (
        heard.kind === HeardKind.HandedOver || heard.kind === HeardKind.Lost
      ) {
        freeAt = heard.at;
      }
    }
  }
  return longest;
}

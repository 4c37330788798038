import { expect } from "chai";
import { describe, it } from "mocha";
import type { PoolId, VmId } from "@rattanvane/protocol";
import { LossReason } from "./ownership_listener.ts";
import { DEFAULT_OWNERSHIP_SETTINGS } from "./settings.ts";
import {
  createContact,
  OwnershipEventKind,
  OwnershipFleet,
  type OwnershipVm,
} from "./testing/ownership_fleet.ts";

const SERVICES = ["captions", "labels", "mock-ups", "plans", "print", "stock"];
const STARTUP_MILLISECONDS = 4_000;
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

function checkOneHolderPerPool(
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
  it("gives each pool one holder and writes the leases in batches", () =>
    runScenario(3, async ({ fleet, vms }) => {
      await fleet.clock.advance(3_000);
      checkOneHolderPerPool(fleet, { leased: true });
      const writers = vms.filter((vm) => vm.ownership.listHeld().length > 0);
      expect(writers.length).to.be.at.least(2);
      expect(fleet.faults.writes).to.equal(writers.length);
      expect(fleet.faults.reads).to.equal(writers.length);
      await fleet.clock.advance(LEASE_MILLISECONDS * 10);
      expect(fleet.events).to.have.length(SERVICES.length);
      const renewals = fleet.faults.writes - writers.length;
      expect(renewals).to.be.within(
        writers.length * 24,
        writers.length * 31,
      );
    }));

  it("takes over from a killed holder under a higher term", () =>
    runScenario(3, async ({ fleet, names }) => {
      await fleet.clock.advance(STARTUP_MILLISECONDS);
      const victim = findHolder(fleet).contact.vm;
      const lost = fleet.listEvents(0, victim);
      fleet.kill(victim);
      await fleet.clock.advance(2_000);
      const rest = names.filter((vm) => vm !== victim);
      const seenAt = fleet.clock.now();
      fleet.setView(rest, rest);
      await fleet.clock.advance(100);
      checkOneHolderPerPool(fleet, { leased: true });
      const taken = fleet.listEvents(seenAt);
      expect(taken).to.have.length(lost.length);
      for (const event of taken) {
        expect(event).to.include({ number: 2, previousHolder: victim });
      }
    }));

  it("gives up all pools first when it resumes after its lease expired", () =>
    runScenario(3, async ({ fleet, names }) => {
      await fleet.clock.advance(STARTUP_MILLISECONDS);
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
      const resumedAt = fleet.clock.now();
      for (const { pool } of held) {
        expect(frozen.ownership.findTerm(pool)).to.equal(undefined);
      }
      frozen.clock.thaw();
      await fleet.clock.advance(100);
      const events = fleet.listEvents(resumedAt, vm);
      expect(events.map(({ kind }) => kind)).to.deep.equal(
        held.map(() => OwnershipEventKind.Lost),
      );
      expect(events[0]?.reason).to.equal(LossReason.Paused);
      fleet.setView(names, names);
      await fleet.clock.advance(JOIN_MILLISECONDS);
      checkOneHolderPerPool(fleet, { leased: true });
      expect(frozen.ownership.listHeld()).to.have.length(held.length);
    }));

  describe("network partition", () => {
    for (const outage of [true, false]) {
      it(`schedules pools on both sides, then on one VM (outage: ${outage})`, () =>
        runScenario(4, async ({ fleet, names }) => {
          fleet.faults.outage = outage;
          await fleet.clock.advance(STARTUP_MILLISECONDS);
          const partitions = [names.slice(0, 2), names.slice(2)];
          partitions.forEach((side) => fleet.setView(side, side));
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
          expect(fleet.listEvents(settledAt)).to.deep.equal([]);
          expect(fleet.faults.writes - writes).to.be.at.most(4 * 31);
          const healedAt = fleet.clock.now();
          fleet.setView(names, names);
          await fleet.clock.advance(1_000);
          for (const pool of fleet.pools) {
            expect(fleet.listHolders(pool)).to.have.length(1);
          }
          const lost = fleet.listEvents(healedAt)
            .filter(({ kind }) => kind === OwnershipEventKind.Lost);
          expect(lost).to.have.length(SERVICES.length);
          await fleet.clock.advance(JOIN_MILLISECONDS + LEASE_MILLISECONDS);
          checkOneHolderPerPool(fleet, { leased: !outage });
        }));
    }
  });

  describe("platform outage", () => {
    it("starts under unleased terms and raises them when it ends", () =>
      runScenario(3, async ({ fleet }) => {
        fleet.faults.outage = true;
        await fleet.clock.advance(STARTUP_MILLISECONDS);
        checkOneHolderPerPool(fleet, { leased: false });
        await fleet.clock.advance(60_000);
        expect(fleet.events).to.have.length(SERVICES.length);
        fleet.faults.outage = false;
        await fleet.clock.advance(LEASE_MILLISECONDS);
        checkOneHolderPerPool(fleet, { leased: true });
        for (const pool of fleet.pools) {
          expect((await readLease(fleet, pool)).number).to.equal(2);
        }
      }));

    it("keeps its pools when the outage begins during a lease", () =>
      runScenario(3, async ({ fleet }) => {
        await fleet.clock.advance(STARTUP_MILLISECONDS);
        const beganAt = fleet.clock.now();
        fleet.faults.outage = true;
        await fleet.clock.advance(LEASE_MILLISECONDS * 2);
        checkOneHolderPerPool(fleet, { leased: false });
        fleet.faults.outage = false;
        await fleet.clock.advance(LEASE_MILLISECONDS);
        checkOneHolderPerPool(fleet, { leased: true });
        const events = fleet.listEvents(beganAt);
        expect(events.map(({ kind, number }) => `${kind} ${number}`)).to.deep
          .equal(events.map(() => `${OwnershipEventKind.TermChanged} 1`));
        expect(events).to.have.length(SERVICES.length * 2);
      }));

    it("takes over from a killed holder under a higher unleased term", () =>
      runScenario(3, async ({ fleet, names }) => {
        await fleet.clock.advance(STARTUP_MILLISECONDS);
        fleet.faults.outage = true;
        const victim = findHolder(fleet).contact.vm;
        fleet.kill(victim);
        const rest = names.filter((vm) => vm !== victim);
        const seenAt = fleet.clock.now();
        fleet.setView(rest, rest);
        await fleet.clock.advance(4_000);
        const taken = fleet.listEvents(seenAt)
          .filter(({ kind }) => kind === OwnershipEventKind.Acquired);
        expect(taken).to.not.have.length(0);
        for (const event of taken) {
          expect(event).to.include({ number: 2, leased: false });
        }
        for (const pool of fleet.pools) {
          expect(fleet.listHolders(pool)).to.have.length(1);
        }
      }));

    it("hands pools over to a VM that joins, without a lease", () =>
      runScenario(2, async ({ fleet, names }) => {
        fleet.faults.outage = true;
        await fleet.clock.advance(STARTUP_MILLISECONDS);
        const all = [...names, "vm-2"];
        const joined = fleet.start("vm-2", all);
        fleet.setView(names, all);
        await fleet.clock.advance(JOIN_MILLISECONDS + LEASE_MILLISECONDS);
        checkOneHolderPerPool(fleet, { leased: false });
        expect(joined.ownership.listHeld()).to.not.have.length(0);
      }));
  });

  describe("lost responses", () => {
    const cases = [
      { title: "to the first write", lostAt: 0 },
      { title: "to a renewal", lostAt: STARTUP_MILLISECONDS },
    ];
    for (const { title, lostAt } of cases) {
      it(`resolves a lost response ${title} by reading the row`, () =>
        runScenario(3, async ({ fleet }) => {
          await fleet.clock.advance(lostAt);
          fleet.faults.lostAnswers = 3;
          await fleet.clock.advance(STARTUP_MILLISECONDS + LEASE_MILLISECONDS);
          expect(fleet.faults.lostAnswers).to.equal(0);
          checkOneHolderPerPool(fleet, { leased: true });
          expect(fleet.events).to.have.length(SERVICES.length);
          for (const pool of fleet.pools) {
            expect((await readLease(fleet, pool)).number).to.equal(1);
          }
        }));
    }

    it("keeps its pools while every response is late", () =>
      runScenario(3, async ({ fleet }) => {
        await fleet.clock.advance(STARTUP_MILLISECONDS);
        const delayedAt = fleet.clock.now();
        fleet.faults.delayMilliseconds = 5_000;
        await fleet.clock.advance(60_000);
        const lost = fleet.listEvents(delayedAt).filter(({ kind }) =>
          kind === OwnershipEventKind.Lost
        );
        expect(lost).to.deep.equal([]);
        fleet.faults.delayMilliseconds = 0;
        await fleet.clock.advance(LEASE_MILLISECONDS * 2);
        checkOneHolderPerPool(fleet, { leased: true });
      }));
  });

  it("grants the lease to only one of two racing VMs", async () => {
    const fleet = new OwnershipFleet({ seed: 2, services: SERVICES });
    fleet.start("vm-0", ["vm-0"]);
    fleet.start("vm-1", ["vm-1"]);
    await fleet.clock.advance(STARTUP_MILLISECONDS + LEASE_MILLISECONDS * 2);
    for (const pool of fleet.pools) {
      const leased = fleet.listHolders(pool).filter((vm) =>
        findHeld(vm, pool)?.leased
      );
      expect(leased).to.have.length(1);
      const row = await readLease(fleet, pool);
      expect(row.holder).to.equal(leased[0]?.contact.vm);
    }
    const numbers = fleet.events.filter(({ leased }) => leased === true)
      .map(({ pool, number }) => `${pool} ${number}`);
    expect(new Set(numbers).size).to.equal(numbers.length);
    fleet.stop();
  });

  it("hands its pools over when it leaves and acquires none afterwards", () =>
    runScenario(3, async ({ fleet, names }) => {
      await fleet.clock.advance(STARTUP_MILLISECONDS);
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
      const events = fleet.listEvents(leftAt);
      const handovers = events.filter(({ kind }) =>
        kind === OwnershipEventKind.HandedOver
      );
      expect(handovers).to.have.length(held.length);
      for (const { pool, to } of handovers) {
        const taken = events.find((other) =>
          other.kind === OwnershipEventKind.Acquired && other.pool === pool
        );
        expect(taken).to.include({ vm: to, number: 2, leased: true });
      }
      await fleet.clock.advance(30_000);
      expect(leaving.ownership.listHeld()).to.deep.equal([]);
      checkOneHolderPerPool(fleet, { leased: true });
    }));

  it("acquires nothing from responses that arrive while it leaves", () =>
    runScenario(3, async ({ fleet, vms, names }) => {
      fleet.faults.delayMilliseconds = 400;
      await fleet.clock.advance(2_600);
      expect(fleet.faults.writes).to.equal(3);
      const [leaving] = vms as [OwnershipVm];
      await leaving.ownership.handOverAll(leaving.stop.signal);
      fleet.setView(names, names.slice(1));
      await fleet.clock.advance(STARTUP_MILLISECONDS);
      expect(fleet.listEvents(0, "vm-0")).to.deep.equal([]);
      checkOneHolderPerPool(fleet, { leased: true });
    }));

  it("keeps every pool scheduled while all VMs are replaced", () =>
    runScenario(3, async ({ fleet, names }) => {
      await fleet.clock.advance(STARTUP_MILLISECONDS);
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
      checkOneHolderPerPool(fleet, { leased: true });
      const longest = computeLongestGap(fleet, begunAt);
      expect(longest).to.be.at.most(
        DEFAULT_OWNERSHIP_SETTINGS.passIntervalMilliseconds,
      );
    }));

  it("gives up a removed pool, and exceeds a term of an earlier process", () =>
    runScenario(1, async ({ fleet, vms }) => {
      await fleet.clock.advance(STARTUP_MILLISECONDS);
      const [only] = vms as [OwnershipVm];
      const [removed, kept] = fleet.pools as [PoolId, PoolId];
      fleet.pools = fleet.pools.slice(1);
      only.terms.record({
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

/** Computes the longest time in ms during which a pool had no holder. */
function computeLongestGap(fleet: OwnershipFleet, since: number): number {
  let longest = 0;
  for (const { service } of fleet.pools) {
    let vacantAt: number | undefined;
    for (const event of fleet.listEvents(since)) {
      if (event.pool !== service) {
        continue;
      }
      if (
        event.kind === OwnershipEventKind.Acquired && vacantAt !== undefined
      ) {
        longest = Math.max(longest, event.at - vacantAt);
        vacantAt = undefined;
      }
      if (
        event.kind === OwnershipEventKind.HandedOver ||
        event.kind === OwnershipEventKind.Lost
      ) {
        vacantAt = event.at;
      }
    }
  }
  return longest;
}

import { expect } from "chai";
import { describe, it } from "mocha";
import { encodeMessage, type PoolTerm, type VmId } from "@rattanvane/protocol";
import {
  createTestContact,
  listLiveNames,
  TEST_ZONE,
  TestFleet,
  type TestFleetOptions,
  type TestVm,
} from "./testing/test_fleet.ts";
import { DEFAULT_MEMBERSHIP_SETTINGS } from "./settings.ts";
import { MembershipChangeKind } from "./zone_view.ts";

const OTHER_ZONE = "zone-b";
const DETECTION_MILLISECONDS = 3_000;
const SETTLE_MILLISECONDS = 8_000;
const CONTROL_BYTES_PER_SECOND = 16_384;
const REJOIN_MILLISECONDS = 6_000;

/** Runs a test with a fleet and stops the fleet afterwards. */
async function runWithFleet(
  options: TestFleetOptions,
  test: (fleet: TestFleet) => Promise<void>,
): Promise<void> {
  const fleet = new TestFleet(options);
  try {
    await test(fleet);
  } finally {
    fleet.stop();
  }
}

async function startSettledZone(
  fleet: TestFleet,
  count: number,
): Promise<TestVm[]> {
  const vms = fleet.startZone(count);
  await fleet.clock.advance(SETTLE_MILLISECONDS);
  for (const vm of vms) {
    expect(listLiveNames(vm)).to.have.length(count);
  }
  return vms;
}

/** Collects the names of VMs for which any observer emits such a change. */
function collectChanges(
  observers: readonly TestVm[],
  kind: MembershipChangeKind,
): Set<VmId> {
  const names = new Set<VmId>();
  for (const { membership, stop } of observers) {
    membership.changes.listen((change) => {
      if (change.kind === kind) {
        names.add(change.contact.vm);
      }
    }, stop.signal);
  }
  return names;
}

function collectDeaths(observers: readonly TestVm[]): Set<VmId> {
  return collectChanges(observers, MembershipChangeKind.Died);
}

function sumBytes(fleet: TestFleet, vms: readonly TestVm[]): number {
  return vms.reduce(
    (sum, vm) => sum + fleet.network.countTraffic(vm.contact.vm).bytes,
    0,
  );
}

function createTerm(number: number): PoolTerm {
  return {
    pool: { zone: TEST_ZONE, service: "captions" },
    term: { number, holder: "zone-a-0" },
    contact: createTestContact("zone-a-0", TEST_ZONE),
  };
}

describe("Membership", () => {
  describe("failure detection", () => {
    const cases = [
      { count: 2, killed: 1, seed: 1 },
      { count: 4, killed: 1, seed: 2 },
      { count: 20, killed: 1, seed: 3 },
      { count: 20, killed: 5, seed: 4 },
    ];
    for (const { count, killed, seed } of cases) {
      it(`removes ${killed} killed VMs of ${count} from all lists within 3 s`, () =>
        runWithFleet({ seed, lossFraction: 0.01 }, async (fleet) => {
          const vms = await startSettledZone(fleet, count);
          const victims = vms.slice(0, killed);
          victims.forEach((victim) => fleet.kill(victim));
          await fleet.clock.advance(DETECTION_MILLISECONDS);
          for (const survivor of vms.slice(killed)) {
            expect(listLiveNames(survivor)).to.have.length(count - killed);
          }
        }));
    }

    it("keeps a VM that takes almost 1 s to answer each message", () =>
      runWithFleet({ seed: 5, lossFraction: 0.01 }, async (fleet) => {
        const vms = await startSettledZone(fleet, 6);
        const deaths = collectDeaths(vms);
        fleet.setHandlingTime(vms[3] as TestVm, 990);
        await fleet.clock.advance(60_000);
        expect([...deaths]).to.deep.equal([]);
      }));

    it("stops suspecting slow VMs once the timeouts have adapted to them", () =>
      runWithFleet({ seed: 20 }, async (fleet) => {
        const vms = await startSettledZone(fleet, 10);
        vms.slice(0, 5).forEach((vm) => fleet.setHandlingTime(vm, 200));
        await fleet.clock.advance(10_000);
        const suspected = collectChanges(vms, MembershipChangeKind.Suspected);
        await fleet.clock.advance(10_000);
        expect([...suspected]).to.deep.equal([]);
      }));

    it("declares no VM dead while a tenth of the messages is lost", () =>
      runWithFleet({ seed: 6, lossFraction: 0.1 }, async (fleet) => {
        const vms = await startSettledZone(fleet, 10);
        const deaths = collectDeaths(vms);
        await fleet.clock.advance(60_000);
        expect([...deaths]).to.deep.equal([]);
      }));

    it("removes a frozen VM, which declares no VM dead when it is thawed", () =>
      runWithFleet({ seed: 7 }, async (fleet) => {
        const vms = await startSettledZone(fleet, 5);
        const frozen = vms[2] as TestVm;
        frozen.clock.freeze();
        await fleet.clock.advance(10_000);
        for (const vm of vms.filter((other) => other !== frozen)) {
          expect(listLiveNames(vm)).to.not.include(frozen.contact.vm);
        }
        const deaths = collectDeaths([frozen]);
        frozen.clock.thaw();
        await fleet.clock.advance(REJOIN_MILLISECONDS);
        expect([...deaths]).to.deep.equal([]);
        for (const vm of vms) {
          expect(listLiveNames(vm)).to.have.length(5);
        }
      }));

    it("restarts the suspicion time of a VM when the observer itself was frozen", () =>
      runWithFleet({ seed: 18 }, async (fleet) => {
        const vms = await startSettledZone(fleet, 2);
        const [observer, target] = vms as [TestVm, TestVm];
        const deaths = collectDeaths([observer]);
        fleet.network.partition([target.contact.vm], 1);
        await fleet.clock.advance(1_300);
        observer.clock.freeze();
        fleet.network.heal();
        await fleet.clock.advance(5_000);
        observer.clock.thaw();
        await fleet.clock.advance(5_000);
        expect([...deaths]).to.deep.equal([]);
        expect(listLiveNames(observer)).to.have.length(2);
      }));
  });

  describe("joining and leaving", () => {
    it("lists a VM as live only once it has answered, whether or not it is a seed", () =>
      runWithFleet({ seed: 8 }, async (fleet) => {
        const [first, second] = await startSettledZone(fleet, 2);
        const absent = createTestContact("absent", TEST_ZONE);
        first?.membership.addSeeds([absent]);
        await fleet.clock.advance(SETTLE_MILLISECONDS);
        const names = [first, second].map((vm) => vm?.contact.vm);
        expect(listLiveNames(first as TestVm)).to.deep.equal(names);
        expect(first?.membership.findContact("absent")).to.deep.equal(absent);
      }));

    it("discovers a VM that only the platform's list names", () =>
      runWithFleet({ seed: 9 }, async (fleet) => {
        const [first] = await startSettledZone(fleet, 2);
        const late = fleet.start("late", { peers: [] });
        first?.membership.addSeeds([late.contact]);
        await fleet.clock.advance(REJOIN_MILLISECONDS);
        expect(listLiveNames(late)).to.have.length(3);
      }));

    it("removes a leaving VM within 500 ms and does not declare it dead while it answers", () =>
      runWithFleet({ seed: 10 }, async (fleet) => {
        const vms = await startSettledZone(fleet, 6);
        const deaths = collectDeaths(vms);
        const leaving = vms[1] as TestVm;
        leaving.membership.announceLeave();
        await fleet.clock.advance(500);
        for (const vm of vms) {
          expect(listLiveNames(vm)).to.not.include(leaving.contact.vm);
        }
        await fleet.clock.advance(20_000);
        expect([...deaths]).to.deep.equal([]);
      }));

    it("regards a restarted VM as live although it has lost its memory", () =>
      runWithFleet({ seed: 11 }, async (fleet) => {
        const vms = await startSettledZone(fleet, 4);
        const victim = vms[3] as TestVm;
        fleet.kill(victim);
        await fleet.clock.advance(DETECTION_MILLISECONDS);
        const peers = [vms[0] as TestVm].map((vm) => vm.contact);
        const restarted = fleet.start(victim.contact.vm, { peers });
        await fleet.clock.advance(REJOIN_MILLISECONDS);
        for (const vm of [...vms.slice(0, 3), restarted]) {
          expect(listLiveNames(vm)).to.have.length(4);
        }
      }));

    it("removes the contact of a dead VM after the retention period", () =>
      runWithFleet(
        {
          seed: 12,
          settings: { deadRetentionMilliseconds: 20_000, peers: [] },
        },
        async (fleet) => {
          const first = fleet.start("first", { peers: [] });
          const second = fleet.start("second", { peers: [] });
          first.membership.addSeeds([second.contact]);
          await fleet.clock.advance(SETTLE_MILLISECONDS);
          fleet.kill(second);
          await fleet.clock.advance(DETECTION_MILLISECONDS);
          expect(first.membership.findContact("second")).to.not.equal(
            undefined,
          );
          await fleet.clock.advance(25_000);
          expect(first.membership.findContact("second")).to.equal(undefined);
        },
      ));
  });

  for (const partitionMilliseconds of [1_600, 1_800, 2_000, 2_200, 60_000]) {
    it(`reunites after a partition of ${partitionMilliseconds} ms and then declares no VM of the same side dead`, () =>
      runWithFleet({ seed: 13, lossFraction: 0.01 }, async (fleet) => {
        const vms = await startSettledZone(fleet, 16);
        const far = vms.slice(8);
        fleet.network.partition(far.map((vm) => vm.contact.vm), 1);
        await fleet.clock.advance(partitionMilliseconds);
        if (partitionMilliseconds > DETECTION_MILLISECONDS) {
          for (const vm of vms) {
            expect(listLiveNames(vm)).to.have.length(8);
          }
        }
        const nearDeaths = collectDeaths(vms.slice(0, 8));
        fleet.network.heal();
        await fleet.clock.advance(REJOIN_MILLISECONDS);
        for (const vm of vms) {
          expect(listLiveNames(vm)).to.have.length(16);
        }
        const nearNames = vms.slice(0, 8).map((vm) => vm.contact.vm);
        expect([...nearDeaths].filter((vm) => nearNames.includes(vm))).to.deep
          .equal([]);
      }));
  }

  describe("other zones", () => {
    it("keeps a limited number of contacts and replaces those that die", () =>
      runWithFleet({ seed: 14 }, async (fleet) => {
        const near = fleet.startZone(2);
        const far = fleet.startZone(8, OTHER_ZONE);
        const seeds = far.slice(0, 2).map((vm) => vm.contact);
        near.forEach((vm) => vm.membership.addSeeds(seeds));
        await fleet.clock.advance(30_000);
        const [observer] = near as [TestVm];
        const before = listLiveNames(observer, OTHER_ZONE);
        expect(before).to.have.length(
          DEFAULT_MEMBERSHIP_SETTINGS.contactsPerZone,
        );
        for (
          const vm of far.filter(({ contact }) => before.includes(contact.vm))
        ) {
          fleet.kill(vm);
        }
        await fleet.clock.advance(60_000);
        const after = listLiveNames(observer, OTHER_ZONE);
        expect(after).to.have.length(
          DEFAULT_MEMBERSHIP_SETTINGS.contactsPerZone,
        );
        expect(after.filter((vm) => before.includes(vm))).to.deep.equal([]);
      }));
  });

  describe("gossip", () => {
    it("disseminates versions and suspects without interpreting them", () =>
      runWithFleet({ seed: 15 }, async (fleet) => {
        const vms = await startSettledZone(fleet, 2);
        const [first, second] = vms as [TestVm, TestVm];
        first.exchange.configurationVersion = 7;
        first.exchange.suspects = [{
          fingerprint: "f1",
          crashedAttempts: ["a1"],
          ageMilliseconds: 5,
        }];
        await fleet.clock.advance(1_000);
        expect(second.exchange.receivedVersion).to.equal(7);
        expect([...second.exchange.receivedSuspects]).to.deep.equal(["f1"]);
        expect(first.exchange.receivedVersion).to.equal(0);
      }));

    it("disseminates a term to all VMs and then stops sending it", async () => {
      let transmissions = 0;
      const options: TestFleetOptions = {
        seed: 16,
        lossFraction: 0.01,
        measureBytes: (message) => {
          transmissions += "gossip" in message
            ? message.gossip.terms.length
            : 0;
          return 0;
        },
      };
      await runWithFleet(options, async (fleet) => {
        const vms = await startSettledZone(fleet, 20);
        const [first] = vms as [TestVm];
        first.exchange.receiveTerm("", createTerm(3));
        first.membership.announceTerm(createTerm(3));
        await fleet.clock.advance(6_000);
        for (const vm of vms) {
          expect(vm.exchange.terms.get("captions")?.term.number).to.equal(3);
        }
        const sent = transmissions;
        await fleet.clock.advance(6_000);
        expect(transmissions).to.equal(sent);
        expect(sent).to.be.at.most(20 * 10);
      });
    });

    it("keeps its traffic bounded while half the zone is slow", async () => {
      const options: TestFleetOptions = {
        seed: 19,
        lossFraction: 0.01,
        measureBytes: (message) => encodeMessage(message).length,
      };
      await runWithFleet(options, async (fleet) => {
        const vms = await startSettledZone(fleet, 40);
        for (const vm of vms.slice(0, 20)) {
          fleet.setHandlingTime(vm, fleet.random.nextInteger(100, 900));
        }
        await fleet.clock.advance(20_000);
        const before = sumBytes(fleet, vms);
        await fleet.clock.advance(10_000);
        const sent = (sumBytes(fleet, vms) - before) / vms.length;
        expect(sent / 10).to.be.below(CONTROL_BYTES_PER_SECOND);
      });
    });

    it("sends about as many bytes per VM in a zone of 20 VMs as in one of 4", async () => {
      const rates: number[] = [];
      for (const count of [4, 20]) {
        const options: TestFleetOptions = {
          seed: 17,
          measureBytes: (message) => encodeMessage(message).length,
        };
        await runWithFleet(options, async (fleet) => {
          const [first] = fleet.startZone(count) as [TestVm];
          await fleet.clock.advance(30_000);
          const { bytes } = fleet.network.countTraffic(first.contact.vm);
          await fleet.clock.advance(20_000);
          const after = fleet.network.countTraffic(first.contact.vm).bytes;
          rates.push((after - bytes) / 20);
        });
      }
      const [small, large] = rates as [number, number];
      expect(large).to.be.below(small * 1.15);
      expect(large).to.be.below(2_000);
    });
  });
});

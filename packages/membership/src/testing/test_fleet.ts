/** Test fixture: the membership of several VMs in one process. */

import {
  createSilentLogger,
  ManualClock,
  RandomSource,
} from "@rattanvane/base";
import type {
  MembershipMessage,
  Message,
  PoolTerm,
  SuspectFingerprint,
  VmContact,
  VmId,
  ZoneId,
} from "@rattanvane/protocol";
import { GossipExchange, type LocalGossip } from "../gossip_exchange.ts";
import { Membership } from "../membership.ts";
import {
  DEFAULT_MEMBERSHIP_SETTINGS,
  type MembershipSettings,
} from "../settings.ts";
import { FreezableClock } from "./freezable_clock.ts";
import { MemoryNetwork } from "./memory_network.ts";

/** The default zone of the fixture's VMs. */
export const TEST_ZONE = "zone-a";

/** Random seed, network behaviour and settings of a {@link TestFleet}. */
export interface TestFleetOptions {
  seed: number;
  lossFraction?: number;
  latencyMilliseconds?: number;
  measureBytes?: (message: Message) => number;
  settings?: Partial<MembershipSettings>;
}

/** Records the data that gossip delivers. */
export class TestExchange extends GossipExchange {
  configurationVersion = 0;
  receivedVersion = 0;
  suspects: SuspectFingerprint[] = [];
  readonly receivedSuspects = new Set<string>();
  readonly terms = new Map<string, PoolTerm>();

  override collectLocal(): LocalGossip {
    return {
      configurationVersion: this.configurationVersion,
      suspects: this.suspects,
    };
  }

  override receiveVersion(_from: VmId, version: number): void {
    this.receivedVersion = Math.max(this.receivedVersion, version);
  }

  override receiveSuspects(
    _from: VmId,
    suspects: readonly SuspectFingerprint[],
  ): void {
    for (const suspect of suspects) {
      this.receivedSuspects.add(suspect.fingerprint);
    }
  }

  override receiveTerm(_from: VmId, term: PoolTerm): boolean {
    const known = this.terms.get(term.pool.service);
    if (known !== undefined && known.term.number >= term.term.number) {
      return false;
    }
    this.terms.set(term.pool.service, term);
    return true;
  }

  override listTerms(): readonly PoolTerm[] {
    return [...this.terms.values()];
  }
}

/** A running VM of the fixture. */
export interface TestVm {
  contact: VmContact;
  membership: Membership;
  exchange: TestExchange;
  clock: FreezableClock;
  stop: AbortController;
}

/** Creates the contact of a VM with the fixture's address and ports. */
export function createTestContact(vm: VmId, zone: ZoneId): VmContact {
  return { vm, zone, host: "127.0.0.1", controlPort: 7400, callerPort: 8400 };
}

/** Runs VMs that can be killed, frozen, slowed down and partitioned. */
export class TestFleet {
  readonly clock = new ManualClock();
  readonly random: RandomSource;
  readonly network: MemoryNetwork;
  readonly vms = new Map<VmId, TestVm>();
  readonly #settings: Partial<MembershipSettings>;

  constructor(options: TestFleetOptions) {
    this.random = new RandomSource(options.seed);
    this.#settings = options.settings ?? {};
    this.network = new MemoryNetwork({
      clock: this.clock,
      random: this.random,
      latencyMilliseconds: options.latencyMilliseconds ?? 1,
      lossFraction: options.lossFraction ?? 0,
      measureBytes: options.measureBytes ?? (() => 0),
    });
  }

  /** Starts a VM with the given peers as its seeds. */
  start(
    vm: VmId,
    options: { zone?: ZoneId; peers: readonly VmContact[] },
  ): TestVm {
    const contact = createTestContact(vm, options.zone ?? TEST_ZONE);
    const clock = new FreezableClock(this.clock);
    const stop = new AbortController();
    const exchange = new TestExchange();
    const sender = this.network.connect(vm, {
      handle: (from, message) =>
        membership.handle(from, message as MembershipMessage),
      ready: () => clock.waitForThaw(),
      handlingMilliseconds: 0,
    });
    const membership: Membership = new Membership({
      self: contact,
      sender,
      clock,
      random: new RandomSource(this.random.nextInteger(1, 1 << 30)),
      logger: createSilentLogger(),
      settings: {
        ...DEFAULT_MEMBERSHIP_SETTINGS,
        peers: options.peers,
        ...this.#settings,
      },
      gossip: exchange,
    });
    const started = { contact, membership, exchange, clock, stop };
    this.vms.set(vm, started);
    void membership.run(stop.signal);
    return started;
  }

  /** Starts the VMs of a zone, each with the zone's first two as its seeds. */
  startZone(count: number, zone: ZoneId = TEST_ZONE): TestVm[] {
    const names = Array.from(
      { length: count },
      (_, index) => `${zone}-${index}`,
    );
    const peers = names.slice(0, 2).map((vm) => createTestContact(vm, zone));
    return names.map((vm) => this.start(vm, { zone, peers }));
  }

  /** Stops a VM without announcing it to the others. */
  kill(vm: TestVm): void {
    vm.stop.abort();
    this.network.disconnect(vm.contact.vm);
    this.vms.delete(vm.contact.vm);
  }

  /** Sets how long a VM takes to handle each message. */
  setHandlingTime(vm: TestVm, handlingMilliseconds: number): void {
    this.network.connect(vm.contact.vm, {
      handle: (from, message) =>
        vm.membership.handle(from, message as MembershipMessage),
      ready: () => vm.clock.waitForThaw(),
      handlingMilliseconds,
    });
  }

  /** Stops all VMs. */
  stop(): void {
    for (const vm of this.vms.values()) {
      vm.stop.abort();
    }
  }
}

/** Lists the names of the VMs of a zone that a VM regards as live, sorted. */
export function listLiveNames(vm: TestVm, zone: ZoneId = TEST_ZONE): VmId[] {
  return vm.membership.listLive(zone).map((contact) => contact.vm).sort();
}

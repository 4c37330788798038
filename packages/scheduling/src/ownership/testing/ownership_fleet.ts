/** Fixture: the ownership of several VMs in one process. */

import {
  createSilentLogger,
  Emitter,
  ManualClock,
  RandomSource,
} from "@rattanvane/base";
import {
  type MembershipChange,
  MembershipChangeKind,
  ZoneView,
} from "@rattanvane/membership";
import { FreezableClock } from "@rattanvane/membership/testing";
import {
  MemoryTableService,
  PlatformFaults,
} from "@rattanvane/platform/testing";
import {
  formatPool,
  type PoolId,
  type PoolTerm,
  type Term,
  type VmContact,
  type VmId,
  type ZoneId,
} from "@rattanvane/protocol";
import {
  type Acquisition,
  type LossReason,
  OwnershipListener,
  type TermChange,
} from "../ownership_listener.ts";
import { PoolOwnership } from "../pool_ownership.ts";
import { DEFAULT_OWNERSHIP_SETTINGS } from "../settings.ts";
import { TermBook } from "../term_book.ts";

/** The zone of all VMs of the fixture. */
export const TEST_ZONE = "zone-a";

const GOSSIP_MILLISECONDS = 50;

/** What a listener heard. */
export enum HeardKind {
  Acquired = "acquired",
  TermChanged = "termChanged",
  Lost = "lost",
  HandedOver = "handedOver",
}

/** One event of a listener. */
export interface Heard {
  kind: HeardKind;
  at: number;
  vm: VmId;
  pool: string;
  number?: number;
  leased?: boolean;
  previousHolder?: VmId | undefined;
  reason?: LossReason;
  to?: VmId;
}

/** A view of the zone that the test sets. */
export class TestZoneView extends ZoneView {
  override readonly changes = new Emitter<MembershipChange>();
  live: VmContact[] = [];

  override listLive(_zone: ZoneId): VmContact[] {
    return [...this.live];
  }

  override listAnswering(zone: ZoneId): VmContact[] {
    return this.listLive(zone);
  }

  override findContact(vm: VmId): VmContact | undefined {
    return this.live.find((contact) => contact.vm === vm);
  }

  /** Replaces the live VMs, and emits what changed. */
  set(live: readonly VmContact[]): void {
    const before = this.live;
    this.live = [...live];
    this.#emit(MembershipChangeKind.Joined, listMissing(live, before));
    this.#emit(MembershipChangeKind.Died, listMissing(before, live));
  }

  #emit(kind: MembershipChangeKind, contacts: readonly VmContact[]): void {
    for (const contact of contacts) {
      this.changes.emit({ kind, contact, incarnation: 1 });
    }
  }
}

function listMissing(
  all: readonly VmContact[],
  taken: readonly VmContact[],
): VmContact[] {
  return all.filter((contact) =>
    !taken.some((other) => other.vm === contact.vm)
  );
}

class RecordingListener extends OwnershipListener {
  readonly #record: (heard: Omit<Heard, "at" | "vm">) => void;

  constructor(record: (heard: Omit<Heard, "at" | "vm">) => void) {
    super();
    this.#record = record;
  }

  override acquired(pool: PoolId, term: Term, how: Acquisition): void {
    this.#record({
      kind: HeardKind.Acquired,
      pool: pool.service,
      number: term.number,
      ...how,
    });
  }

  override termChanged(pool: PoolId, term: Term, change: TermChange): void {
    this.#record({
      kind: HeardKind.TermChanged,
      pool: pool.service,
      number: term.number,
      ...change,
    });
  }

  override lost(pool: PoolId, reason: LossReason): void {
    this.#record({ kind: HeardKind.Lost, pool: pool.service, reason });
  }

  override handedOver(pool: PoolId, to: VmContact): void {
    this.#record({
      kind: HeardKind.HandedOver,
      pool: pool.service,
      to: to.vm,
    });
  }
}

/** One VM of the fixture. */
export interface OwnershipVm {
  contact: VmContact;
  view: TestZoneView;
  terms: TermBook;
  clock: FreezableClock;
  ownership: PoolOwnership;
  stop: AbortController;
}

/** Creates the contact of a VM of the fixture. */
export function createContact(vm: VmId): VmContact {
  return {
    vm,
    zone: TEST_ZONE,
    host: "127.0.0.1",
    controlPort: 7400,
    callerPort: 8400,
  };
}

/** Creates a pool of the fixture's zone. */
export function createPool(service: string): PoolId {
  return { zone: TEST_ZONE, service };
}

/** Holds VMs that share a table and hear of each other's terms. */
export class OwnershipFleet {
  readonly clock = new ManualClock();
  readonly faults = new PlatformFaults(this.clock);
  readonly table = new MemoryTableService(this.faults);
  readonly vms = new Map<VmId, OwnershipVm>();
  readonly heard: Heard[] = [];
  pools: PoolId[];
  readonly #random: RandomSource;

  constructor(options: { seed: number; services: readonly string[] }) {
    this.#random = new RandomSource(options.seed);
    this.pools = options.services.map(createPool);
  }

  /** Starts a VM that sees the given VMs as live, itself included. */
  start(vm: VmId, live: readonly VmId[]): OwnershipVm {
    const contact = createContact(vm);
    const clock = new FreezableClock(this.clock);
    const view = new TestZoneView();
    view.set(live.map(createContact));
    const terms = new TermBook();
    const stop = new AbortController();
    const ownership = new PoolOwnership({
      self: contact,
      zone: view,
      table: this.table,
      terms,
      clock,
      random: new RandomSource(this.#random.nextInteger(1, 1 << 30)),
      logger: createSilentLogger(),
      settings: DEFAULT_OWNERSHIP_SETTINGS,
      listener: new RecordingListener((heard) =>
        this.heard.push({ ...heard, at: this.clock.now(), vm })
      ),
      listPools: () => this.pools,
      announce: (term) => void this.#spread(vm, term),
    });
    const started = { contact, view, terms, clock, ownership, stop };
    this.vms.set(vm, started);
    void ownership.run(stop.signal);
    return started;
  }

  /** Starts VMs that all see each other. */
  startAll(names: readonly VmId[]): OwnershipVm[] {
    return names.map((vm) => this.start(vm, names));
  }

  /** Sets what some VMs see as live. */
  setView(observers: readonly VmId[], live: readonly VmId[]): void {
    for (const observer of observers) {
      this.vms.get(observer)?.view.set(live.map(createContact));
    }
  }

  /** Ends a VM without a word. */
  kill(vm: VmId): void {
    this.vms.get(vm)?.stop.abort();
    this.vms.delete(vm);
  }

  /** Ends all VMs. */
  stop(): void {
    for (const vm of [...this.vms.keys()]) {
      this.kill(vm);
    }
  }

  /** Lists the VMs that hold a pool. */
  listHolders(pool: PoolId): OwnershipVm[] {
    return [...this.vms.values()].filter((vm) =>
      vm.ownership.listHeld().some((held) =>
        formatPool(held.pool) === formatPool(pool)
      )
    );
  }

  /** Finds a pool that this VM holds. */
  findHeldPool(vm: OwnershipVm): PoolId {
    const [held] = vm.ownership.listHeld();
    if (held === undefined) {
      throw new Error(`"${vm.contact.vm}" holds no pool; use another seed`);
    }
    return held.pool;
  }

  /** Lists what was heard since a moment, of one VM if one is named. */
  listHeard(since: number, vm?: VmId): Heard[] {
    return this.heard.filter((heard) =>
      heard.at >= since && (vm === undefined || heard.vm === vm)
    );
  }

  /** Gossip reaches the VMs that see each other. */
  async #spread(from: VmId, term: PoolTerm): Promise<void> {
    const { signal } = new AbortController();
    await this.clock.sleep(GOSSIP_MILLISECONDS, signal);
    for (const vm of this.vms.values()) {
      if (vm.view.findContact(from) !== undefined) {
        await vm.clock.waitForThaw();
        vm.terms.learn(term);
      }
    }
  }
}

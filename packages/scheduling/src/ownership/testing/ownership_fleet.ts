/** Test fixture that runs the pool ownership of several VMs in one process. */

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
import { TermRegistry } from "../term_registry.ts";

/** Zone of all VMs of the fixture. */
export const TEST_ZONE = "zone-a";

const GOSSIP_DELAY_MILLISECONDS = 50;

/** Method of `OwnershipListener` that was called. */
export enum OwnershipEventKind {
  Acquired = "acquired",
  TermChanged = "termChanged",
  Lost = "lost",
  HandedOver = "handedOver",
}

/** One call of an `OwnershipListener` method. */
export interface OwnershipEvent {
  kind: OwnershipEventKind;
  /** Time of the call on the fixture's clock, in ms. */
  at: number;
  vm: VmId;
  pool: string;
  number?: number;
  leased?: boolean;
  previousHolder?: VmId | undefined;
  reason?: LossReason;
  to?: VmId;
}

/** Zone view whose live VMs are set by the test. */
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

  /** Replaces the live VMs and emits the changes. */
  setLive(live: readonly VmContact[]): void {
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
  excluded: readonly VmContact[],
): VmContact[] {
  return all.filter((contact) =>
    !excluded.some((other) => other.vm === contact.vm)
  );
}

class RecordingListener extends OwnershipListener {
  readonly #record: (event: Omit<OwnershipEvent, "at" | "vm">) => void;

  constructor(record: (event: Omit<OwnershipEvent, "at" | "vm">) => void) {
    super();
    this.#record = record;
  }

  override acquired(pool: PoolId, term: Term, acquisition: Acquisition): void {
    this.#record({
      kind: OwnershipEventKind.Acquired,
      pool: pool.service,
      number: term.number,
      ...acquisition,
    });
  }

  override termChanged(pool: PoolId, term: Term, change: TermChange): void {
    this.#record({
      kind: OwnershipEventKind.TermChanged,
      pool: pool.service,
      number: term.number,
      ...change,
    });
  }

  override lost(pool: PoolId, reason: LossReason): void {
    this.#record({ kind: OwnershipEventKind.Lost, pool: pool.service, reason });
  }

  override handedOver(pool: PoolId, to: VmContact): void {
    this.#record({
      kind: OwnershipEventKind.HandedOver,
      pool: pool.service,
      to: to.vm,
    });
  }
}

/** One VM of the fixture. */
export interface OwnershipVm {
  contact: VmContact;
  view: TestZoneView;
  terms: TermRegistry;
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

/** VMs that share a lease table and gossip their terms to each other. */
export class OwnershipFleet {
  readonly clock = new ManualClock();
  readonly faults = new PlatformFaults(this.clock);
  readonly table = new MemoryTableService(this.faults);
  readonly vms = new Map<VmId, OwnershipVm>();
  readonly events: OwnershipEvent[] = [];
  pools: PoolId[];
  readonly #random: RandomSource;

  constructor(options: { seed: number; services: readonly string[] }) {
    this.#random = new RandomSource(options.seed);
    this.pools = options.services.map(createPool);
  }

  /** Starts a VM that has the given VMs as live, which include itself. */
  start(vm: VmId, live: readonly VmId[]): OwnershipVm {
    const contact = createContact(vm);
    const clock = new FreezableClock(this.clock);
    const view = new TestZoneView();
    view.setLive(live.map(createContact));
    const terms = new TermRegistry();
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
      listener: new RecordingListener((event) =>
        this.events.push({ ...event, at: this.clock.now(), vm })
      ),
      listPools: () => this.pools,
      announce: (term) => void this.#gossip(vm, term),
    });
    const started = { contact, view, terms, clock, ownership, stop };
    this.vms.set(vm, started);
    void ownership.run(stop.signal);
    return started;
  }

  /** Starts VMs that all have each other as live. */
  startAll(names: readonly VmId[]): OwnershipVm[] {
    return names.map((vm) => this.start(vm, names));
  }

  /** Sets the live VMs in the views of the observers. */
  setView(observers: readonly VmId[], live: readonly VmId[]): void {
    for (const observer of observers) {
      this.vms.get(observer)?.view.setLive(live.map(createContact));
    }
  }

  /** Stops a VM without a handover, as a crash would. */
  kill(vm: VmId): void {
    this.vms.get(vm)?.stop.abort();
    this.vms.delete(vm);
  }

  /** Stops all VMs. */
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

  /** Finds a pool that the VM holds; throws when it holds none. */
  findHeldPool(vm: OwnershipVm): PoolId {
    const [held] = vm.ownership.listHeld();
    if (held === undefined) {
      throw new Error(`"${vm.contact.vm}" holds no pool; use another seed`);
    }
    return held.pool;
  }

  /** Lists the events since a time in ms, of one VM if `vm` is given. */
  listEvents(since: number, vm?: VmId): OwnershipEvent[] {
    return this.events.filter((event) =>
      event.at >= since && (vm === undefined || event.vm === vm)
    );
  }

  /** Delivers a term to all VMs that have the sender as live. */
  async #gossip(from: VmId, term: PoolTerm): Promise<void> {
    const { signal } = new AbortController();
    await this.clock.sleep(GOSSIP_DELAY_MILLISECONDS, signal);
    for (const vm of this.vms.values()) {
      if (vm.view.findContact(from) !== undefined) {
        await vm.clock.waitForThaw();
        vm.terms.record(term);
      }
    }
  }
}

/** Takes part in the roll-outs of all services, at times as their owner. */

import { Buffer } from "node:buffer";
import {
  ChildAbort,
  type Clock,
  Emitter,
  type Logger,
  type RandomSource,
} from "@rattanvane/base";
import type { TableFeed } from "@rattanvane/platform";
import type {
  RolloutGrant,
  RolloutNews,
  RolloutReport,
  ServiceId,
  VmId,
} from "@rattanvane/protocol";
import type { ServiceScheduler } from "../scheduling/service_scheduler.ts";
import type { EndpointDirectory } from "../state/endpoint_directory.ts";
import type { RowDecoder } from "../state/row_decoder.ts";
import { type OwnerView, RolloutOwner } from "./rollout_owner.ts";
import {
  buildFirstRecord,
  compareRecords,
  decodeRecord,
  encodeRecord,
  type RolloutOrder,
  RolloutPhase,
  type RolloutRecord,
  type RolloutSettings,
} from "./rollout_record.ts";
import { RolloutStore, type StoredRecord } from "./rollout_store.ts";
import { VersionGate } from "./version_gate.ts";

const STEP_MILLISECONDS = 100;
/** After a longer gap between two steps, waiting grants are outdated. */
const MAX_STEP_GAP_MILLISECONDS = 1_000;
/** Statistics are in one of this number of messages. */
const STATISTICS_INTERVAL = 3;
/**
 * A VM that has not heard the owner for this time reads the record. The former
 * version's endpoints stop with a decision, and grants end after a second.
 */
const READ_SILENCE_MILLISECONDS = 400;
/** Such reads wait for up to this time, and are this far apart at least. */
const READ_INTERVAL_MILLISECONDS = 400;
/** An owner that is not heard for this time is replaced. */
const OWNER_SILENCE_MILLISECONDS = 2_000;
/** An owner that cannot write for this time gives up, so that others can. */
const OWNER_WRITE_TIMEOUT_MILLISECONDS = 5_000;
/** VMs that could become the owner try at different times. */
const MAX_ATTEMPT_DELAY_MILLISECONDS = 800;
/** A store that came back from a copy has the operator's rows again by then. */
const OPERATOR_REWRITE_MILLISECONDS = 10_000;
/** A coordinator without orders waits for one for this time at most. */
const IDLE_MILLISECONDS = 10_000;
/** The largest number of live schedulers is remembered for this time. */
const PEAK_MILLISECONDS = 60_000;

/** An order that was written, or that was removed. */
export interface OrderChange {
  service: ServiceId;
  /** Undefined for an order that was removed. */
  order: RolloutOrder | undefined;
  /** Whether the store has only come back to this state from a copy. */
  isRestored: boolean;
}

/** Dependencies of a {@link RolloutCoordinator}. */
export interface RolloutCoordinatorOptions {
  /** Undefined where roll-outs are not configured; orders are ignored then. */
  settings: RolloutSettings | undefined;
  vm: VmId;
  feed: TableFeed;
  decoder: RowDecoder;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  directory: EndpointDirectory;
  orders: Emitter<OrderChange>;
  /** Emits when the store has come back from a copy. */
  storeRestored: Emitter<void>;
  /** Whether this VM is a scheduler; only these own roll-outs. */
  isScheduler: () => boolean;
  /** Counts the other schedulers that sent their state recently. */
  countLiveSchedulers: () => number;
  findScheduler: (service: ServiceId) => ServiceScheduler | undefined;
}

interface ServiceRollout {
  gate: VersionGate;
  owner: RolloutOwner | undefined;
  /** The owner's newest grant, if it is at this VM. */
  grant: RolloutGrant | undefined;
  isCalling: boolean;
  /** When this VM tries to become the owner; undefined if there is no need. */
  attemptAt: number | undefined;
  /** When the record was read last, on the steady clock. */
  readAt: number;
  /** Whether the store may have lost the record. */
  isRecordDoubtful: boolean;
}

/** Keeps a gate for each service and leads the roll-outs that it owns. */
export class RolloutCoordinator {
  readonly #options: RolloutCoordinatorOptions;
  readonly #store: RolloutStore;
  readonly #process: string;
  readonly #rollouts = new Map<ServiceId, ServiceRollout>();
  readonly #encoded = new WeakMap<RolloutRecord, Uint8Array>();
  readonly #wake = new Emitter<void>();
  #steppedAt = -Infinity;
  /** Until then, grants may have waited while this VM was frozen. */
  #ignoresGrantsUntil = -Infinity;
  #peak = { schedulers: 0, seenAt: -Infinity };
  /** Until then, an order that differs from the record may be outdated. */
  #uncertainUntil: number;
  /** Since when this VM hears what schedulers hear. */
  #schedulerSince: number;
  #messages = 0;
  #writes = 0;

  constructor(options: RolloutCoordinatorOptions, signal: AbortSignal) {
    const { clock, vm } = options;
    this.#options = options;
    this.#store = new RolloutStore(options);
    const start = Math.floor(clock.wallTime()).toString(36);
    this.#process = `${vm}~${start}`;
    this.#uncertainUntil = clock.now() + OPERATOR_REWRITE_MILLISECONDS;
    this.#schedulerSince = clock.now();
    options.orders.listen((change) => this.#applyOrder(change), signal);
    options.storeRestored.listen(() => this.#doubtRecords(), signal);
  }

  /** The gate of a service; undefined where roll-outs are not configured. */
  findGate(service: ServiceId): VersionGate | undefined {
    return this.#options.settings === undefined
      ? undefined
      : this.#find(service).gate;
  }

  /** Counts the roll-outs in progress that this VM knows of. */
  countInProgress(): number {
    return this.#count(({ gate }) =>
      gate.order !== undefined &&
      (!gate.isCurrent || gate.record?.phase === RolloutPhase.InProgress)
    );
  }

  /** Counts the roll-outs that this VM owns. */
  countOwned(): number {
    return this.#count(({ owner }) => owner !== undefined);
  }

  /** Steps the roll-outs until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    if (this.#options.settings === undefined) {
      return;
    }
    while (!signal.aborted) {
      if (!this.#isAnyActive()) {
        await this.#waitForOrder(signal);
        this.#steppedAt = this.#options.clock.now();
        continue;
      }
      this.#noteGap();
      this.#steppedAt = this.#options.clock.now();
      this.#updatePeak();
      if (!this.#options.isScheduler()) {
        this.#schedulerSince = this.#options.clock.now();
      }
      for (const [service, rollout] of this.#rollouts) {
        this.#step(service, rollout, signal);
      }
      await this.#options.clock.sleep(STEP_MILLISECONDS, signal);
    }
  }

  /** Builds what other schedulers need; undefined if no roll-out is known. */
  buildNews(): RolloutNews | undefined {
    this.#messages++;
    const includesStatistics = this.#messages % STATISTICS_INTERVAL === 0;
    const reports: RolloutReport[] = [];
    const grants: RolloutGrant[] = [];
    for (const { gate, grant } of this.#rollouts.values()) {
      const report = gate.buildReport(includesStatistics);
      if (report !== undefined) {
        reports.push(report);
      }
      if (grant !== undefined) {
        grants.push(grant);
      }
    }
    const records = this.listRecords();
    return records.length === 0 ? undefined : { records, reports, grants };
  }

  /** Merges the news of another scheduler. */
  mergeNews({ records, reports, grants }: RolloutNews): void {
    this.mergeRecords(records);
    for (const report of reports) {
      this.#rollouts.get(report.service)?.owner?.recordReport(report);
    }
    this.#noteGap();
    if (this.#options.clock.now() < this.#ignoresGrantsUntil) {
      return;
    }
    for (const grant of grants) {
      this.#rollouts.get(grant.service)?.gate.applyGrant(grant);
    }
  }

  /** Grants carry no age, and those that wait during a freeze come at once. */
  #noteGap(): void {
    const now = this.#options.clock.now();
    if (now - this.#steppedAt > MAX_STEP_GAP_MILLISECONDS) {
      this.#ignoresGrantsUntil = now + STEP_MILLISECONDS;
    }
  }

  /** Lists the encoded records that this VM knows. */
  listRecords(): Uint8Array[] {
    const records: Uint8Array[] = [];
    for (const { gate } of this.#rollouts.values()) {
      if (gate.record !== undefined) {
        records.push(this.#encode(gate.record));
      }
    }
    return records;
  }

  /** Encodes a record once, since it is sent many times. */
  #encode(record: RolloutRecord): Uint8Array {
    const known = this.#encoded.get(record);
    if (known !== undefined) {
      return known;
    }
    const encoded = encodeRecord(record);
    this.#encoded.set(record, encoded);
    return encoded;
  }

  #hasRecord(value: Uint8Array): boolean {
    return this.listRecords().some((known) =>
      Buffer.compare(known, value) === 0
    );
  }

  /** Merges encoded records of another VM. */
  mergeRecords(values: readonly Uint8Array[]): void {
    if (this.#options.settings === undefined) {
      return;
    }
    for (const value of values) {
      const record = this.#hasRecord(value) ? undefined : decodeRecord(value);
      if (record !== undefined) {
        this.#mergeRecord(record);
      }
    }
  }

  #applyOrder({ service, order, isRestored }: OrderChange): void {
    if (this.#options.settings === undefined) {
      return;
    }
    const { gate } = this.#find(service);
    // The operator writes again what a restored store has lost.
    if (isRestored && gate.order !== undefined) {
      return;
    }
    this.#options.logger.info("the order of a roll-out changed", {
      service,
      version: order?.version,
      rampMilliseconds: order?.rampMilliseconds,
    });
    gate.updateOrder(order);
    this.#wake.emit();
  }

  #doubtRecords(): void {
    this.#uncertainUntil = this.#options.clock.now() +
      OPERATOR_REWRITE_MILLISECONDS;
    for (const rollout of this.#rollouts.values()) {
      rollout.isRecordDoubtful = true;
    }
  }

  #find(service: ServiceId): ServiceRollout {
    const known = this.#rollouts.get(service);
    if (known !== undefined) {
      return known;
    }
    const { clock, directory, settings } = this.#options;
    const created: ServiceRollout = {
      gate: new VersionGate({
        service,
        revertMilliseconds: settings?.revertMilliseconds ?? 0,
        process: this.#process,
        clock,
        listRegistered: () => directory.listService(service),
      }),
      owner: undefined,
      grant: undefined,
      isCalling: false,
      attemptAt: undefined,
      readAt: -Infinity,
      isRecordDoubtful: false,
    };
    this.#rollouts.set(service, created);
    return created;
  }

  #count(matches: (rollout: ServiceRollout) => boolean): number {
    let count = 0;
    for (const rollout of this.#rollouts.values()) {
      count += matches(rollout) ? 1 : 0;
    }
    return count;
  }

  #isAnyActive(): boolean {
    return this.#count(({ gate }) => gate.isActive) > 0;
  }

  async #waitForOrder(signal: AbortSignal): Promise<void> {
    const wait = new ChildAbort(signal);
    this.#wake.listen(() => wait.abort(), wait.signal);
    await this.#options.clock.sleep(IDLE_MILLISECONDS, wait.signal);
    wait.abort();
  }

  #step(
    service: ServiceId,
    rollout: ServiceRollout,
    signal: AbortSignal,
  ): void {
    const { clock, isScheduler } = this.#options;
    const { owner } = rollout;
    if (owner !== undefined && this.#mustStepDown(rollout, owner)) {
      this.#stepDown(service, rollout);
    }
    if (!rollout.gate.isActive || !isScheduler()) {
      return;
    }
    if (rollout.owner !== undefined) {
      this.#lead(rollout, rollout.owner, signal);
      return;
    }
    if (!isOutdated(rollout) && !rollout.isRecordDoubtful) {
      rollout.attemptAt = undefined;
      return;
    }
    rollout.attemptAt ??= this.#pickAttemptTime(rollout);
    if (clock.now() >= rollout.attemptAt && !rollout.isCalling) {
      rollout.attemptAt = undefined;
      rollout.readAt = clock.now();
      void this.#call(rollout, () => this.#takeOver(service, rollout, signal));
    }
  }

  #mustStepDown({ gate }: ServiceRollout, owner: RolloutOwner): boolean {
    const { clock, isScheduler } = this.#options;
    const { generation, term } = owner.record;
    const known = gate.record;
    return !isScheduler() ||
      clock.now() - owner.writtenAt > OWNER_WRITE_TIMEOUT_MILLISECONDS ||
      known?.generation !== generation || known.term > term ||
      known.phase !== RolloutPhase.InProgress ||
      gate.order !== undefined && !gate.isCurrent;
  }

  #stepDown(service: ServiceId, rollout: ServiceRollout): void {
    rollout.owner = undefined;
    rollout.grant = undefined;
    this.#options.logger.info("no longer the owner of a roll-out", { service });
  }

  /** Whether a roll-out is in progress whose owner is not heard. */
  #needsOwner({ gate }: ServiceRollout): boolean {
    const { order, record } = gate;
    // Grants are sent to schedulers only.
    const silence = Math.min(
      gate.silenceMilliseconds,
      this.#options.clock.now() - this.#schedulerSince,
    );
    const isSilent = record?.phase === RolloutPhase.InProgress &&
      silence > OWNER_SILENCE_MILLISECONDS;
    if (order === undefined) {
      return isSilent;
    }
    return this.#hasMajority() && (!gate.isCurrent || isSilent);
  }

  #pickAttemptTime(rollout: ServiceRollout): number {
    const { clock, random } = this.#options;
    const now = clock.now();
    if (this.#needsOwner(rollout) || rollout.isRecordDoubtful) {
      return now + MAX_ATTEMPT_DELAY_MILLISECONDS * random.nextFraction();
    }
    return Math.max(now, rollout.readAt + READ_INTERVAL_MILLISECONDS) +
      READ_INTERVAL_MILLISECONDS * random.nextFraction();
  }

  #lead(
    rollout: ServiceRollout,
    owner: RolloutOwner,
    signal: AbortSignal,
  ): void {
    const { gate } = rollout;
    const report = gate.buildReport(true);
    if (report !== undefined) {
      owner.recordReport(report);
    }
    const proposed = owner.step(this.#buildView(gate));
    if (proposed !== undefined && !rollout.isCalling) {
      void this.#call(
        rollout,
        () => this.#write(rollout, { owner, proposed }, signal),
      );
    }
    rollout.grant = owner.buildGrant();
    gate.applyGrant(rollout.grant);
  }

  #buildView({ order, record }: VersionGate): OwnerView {
    const { directory, findScheduler } = this.#options;
    const service = record?.service ?? "";
    const registered = directory.listService(service);
    const view = {
      isOrdered: order !== undefined,
      hearsMajority: this.#hasMajority(),
      rampMilliseconds: order?.rampMilliseconds ?? 0,
      formerRunning: 0,
      formerSlots: 0,
      newEndpoints: 0,
      newSlots: 0,
      registeredVersions: listVersions(registered),
    };
    for (const endpoint of findScheduler(service)?.listEndpoints() ?? []) {
      const { isOpen, coldStart, running } = endpoint;
      const { version, slots } = endpoint.record;
      if (version !== record?.version) {
        view.formerRunning += running;
        view.formerSlots += isOpen ? slots : 0;
      } else if (isOpen) {
        view.newEndpoints++;
        view.newSlots += coldStart.isCold ? 0 : slots;
      }
    }
    return view;
  }

  /** Runs one exchange with the store at a time for a service. */
  async #call(
    rollout: ServiceRollout,
    run: () => Promise<void>,
  ): Promise<void> {
    rollout.isCalling = true;
    try {
      await run();
    } finally {
      rollout.isCalling = false;
    }
  }

  /** Becomes the owner, or learns that there is no need to. */
  async #takeOver(
    service: ServiceId,
    rollout: ServiceRollout,
    signal: AbortSignal,
  ): Promise<void> {
    const stored = await this.#store.read(service, signal);
    if (stored === undefined || signal.aborted) {
      return;
    }
    rollout.isRecordDoubtful = false;
    if (stored.record !== undefined) {
      this.#mergeRecord(stored.record);
    }
    const { gate } = rollout;
    const { record } = gate;
    const isDecided = record !== undefined &&
      record.phase !== RolloutPhase.InProgress &&
      (gate.isCurrent || gate.order === undefined);
    if (isDecided) {
      await this.#rewrite(stored, record, signal);
      return;
    }
    if (!this.#needsOwner(rollout)) {
      return;
    }
    const proposed = this.#buildTakeOver(service, gate);
    if (proposed === undefined) {
      return;
    }
    const isFirst = proposed.generation !== record?.generation;
    const mustReadOrder = isFirst || gate.order === undefined;
    if (mustReadOrder && !await this.#isOrderInForce(service, gate, signal)) {
      return;
    }
    const isOwner = await this.#replace(stored, proposed, signal);
    if (isOwner && !signal.aborted) {
      this.#startOwner(rollout, proposed);
    }
  }

  /** Writes a decision that the store has lost. */
  async #rewrite(
    stored: StoredRecord,
    record: RolloutRecord,
    signal: AbortSignal,
  ): Promise<void> {
    const isLost = stored.record === undefined ||
      compareRecords(stored.record, record) < 0;
    if (isLost) {
      await this.#replace(stored, record, signal);
    }
  }

  #buildTakeOver(
    service: ServiceId,
    { order, record }: VersionGate,
  ): RolloutRecord | undefined {
    const { directory, vm } = this.#options;
    const isSame = record !== undefined &&
      (order === undefined || record.version === order.version);
    if (isSame) {
      const term = record.term + 1;
      return { ...record, owner: vm, term, write: this.#nameWrite() };
    }
    const registered = listVersions(directory.listService(service));
    if (order === undefined || registered.length === 0) {
      return undefined;
    }
    const first = buildFirstRecord(order, { former: record, registered });
    return { ...first, owner: vm, term: 1, write: this.#nameWrite() };
  }

  /**
   * Whether the store holds the order that this VM knows, or none if it knows
   * none. Another VM may know a later one, and a restored store may hold an
   * earlier one for a while.
   */
  async #isOrderInForce(
    service: ServiceId,
    gate: VersionGate,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { order, record } = gate;
    const isUncertain = record !== undefined &&
      this.#options.clock.now() < this.#uncertainUntil;
    if (isUncertain) {
      return false;
    }
    const stored = await this.#store.readOrder(service, signal);
    return stored !== undefined && gate.order === order &&
      stored.order?.version === order?.version;
  }

  #startOwner(rollout: ServiceRollout, record: RolloutRecord): void {
    const { clock, logger, settings } = this.#options;
    if (settings === undefined) {
      return;
    }
    const { service, version, generation, term } = record;
    logger.info("owner of a roll-out", { service, version, generation, term });
    this.#mergeRecord(record);
    rollout.owner = new RolloutOwner({ settings, clock, logger, record });
  }

  /** Writes what the owner proposes, unless there is a later owner. */
  async #write(
    rollout: ServiceRollout,
    { owner, proposed }: { owner: RolloutOwner; proposed: RolloutRecord },
    signal: AbortSignal,
  ): Promise<void> {
    const { service } = proposed;
    const stored = await this.#store.read(service, signal);
    if (stored === undefined || rollout.owner !== owner) {
      return;
    }
    if (stored.record !== undefined && isOfOther(stored.record, owner.record)) {
      this.#mergeRecord(stored.record);
      return;
    }
    if (!owner.isDue(proposed, this.#buildView(rollout.gate))) {
      return;
    }
    const record = { ...proposed, write: this.#nameWrite() };
    const isWritten = await this.#replace(stored, record, signal);
    if (!isWritten || signal.aborted) {
      return;
    }
    this.#mergeRecord(record);
    if (rollout.owner === owner) {
      owner.confirm(record);
    }
  }

  /** Returns whether the store holds the record. */
  async #replace(
    stored: StoredRecord,
    record: RolloutRecord,
    signal: AbortSignal,
  ): Promise<boolean> {
    if (await this.#store.replace(stored, record, signal)) {
      return true;
    }
    const current = await this.#store.read(record.service, signal);
    return current?.record?.write === record.write;
  }

  #mergeRecord(record: RolloutRecord): void {
    const rollout = this.#find(record.service);
    const { gate } = rollout;
    const known = gate.record;
    if (known !== undefined && compareRecords(record, known) <= 0) {
      return;
    }
    const isForgotten = gate.order === undefined && known === undefined &&
      record.phase === RolloutPhase.Complete;
    if (isForgotten) {
      return;
    }
    gate.updateRecord(record);
    const isNews = known?.phase !== record.phase ||
      known.generation !== record.generation;
    if (isNews) {
      const { service, version, phase, generation } = record;
      this.#options.logger.info("the phase of a roll-out changed", {
        service,
        version,
        phase,
        generation,
      });
    }
    this.#wake.emit();
  }

  #nameWrite(): string {
    return `${this.#process}.${++this.#writes}`;
  }

  #updatePeak(): void {
    const now = this.#options.clock.now();
    const schedulers = this.#options.countLiveSchedulers();
    const isPast = now - this.#peak.seenAt > PEAK_MILLISECONDS;
    if (schedulers >= this.#peak.schedulers || isPast) {
      this.#peak = { schedulers, seenAt: now };
    }
  }

  /**
   * Whether this VM hears at least half of the schedulers that it heard lately.
   * One that is cut off could not hand out allowances to the others.
   */
  #hasMajority(): boolean {
    const live = this.#options.countLiveSchedulers() + 1;
    return live * 2 >= this.#peak.schedulers + 1;
  }
}

/** Whether the store may hold a later record than this VM. */
function isOutdated({ gate }: ServiceRollout): boolean {
  return gate.order !== undefined && !gate.isCurrent ||
    gate.record?.phase === RolloutPhase.InProgress &&
      gate.silenceMilliseconds > READ_SILENCE_MILLISECONDS;
}

/** Whether the store's record is of a later owner or decided already. */
function isOfOther(stored: RolloutRecord, own: RolloutRecord): boolean {
  return stored.generation > own.generation ||
    stored.generation === own.generation &&
      (stored.term > own.term || stored.phase !== RolloutPhase.InProgress);
}

function listVersions(records: Iterable<{ version?: string }>): string[] {
  const versions = new Set<string>();
  for (const { version } of records) {
    versions.add(version ?? "");
  }
  return [...versions];
}

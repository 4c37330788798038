/** Directory of the registered endpoints. */

import { type Clock, Emitter, type Logger } from "@rattanvane/base";
import type {
  EndpointDeparture,
  EndpointId,
  ServiceId,
  ZoneId,
} from "@rattanvane/protocol";
import {
  EndpointPhase,
  type EndpointRecord,
} from "../model/endpoint_record.ts";

/** After a store outage, live endpoints register again within this time. */
const REREGISTRATION_MILLISECONDS = 2_100;
/** How long removed endpoints are remembered as such. */
const REMOVAL_MEMORY_MILLISECONDS = 60_000;

/** The last registration of an endpoint. */
export interface DirectoryEntry {
  record: EndpointRecord;
  /** When the record was received, in milliseconds of the steady clock. */
  receivedAt: number;
}

interface RecordedDeparture extends EndpointDeparture {
  recordedAt: number;
}

/** Kind of a directory change. */
export enum DirectoryChangeKind {
  /** This VM did not know the endpoint. */
  Discovered = "discovered",
  /** The endpoint has restarted. */
  Started = "started",
  Updated = "updated",
  Removed = "removed",
}

/** A change to one endpoint. */
export interface DirectoryChange {
  kind: DirectoryChangeKind;
  entry: DirectoryEntry;
}

/** Dependencies of an {@link EndpointDirectory}. */
export interface EndpointDirectoryOptions {
  clock: Clock;
  logger: Logger;
}

/**
 * Keeps the last registration of each endpoint. During a store outage,
 * registrations may expire although their endpoints are alive, so removals are
 * held back until the endpoints have had time to register again.
 */
export class EndpointDirectory {
  readonly changes = new Emitter<DirectoryChange>();
  /** Emits each departure once, whether it was heard of or observed. */
  readonly departures = new Emitter<EndpointDeparture>();
  readonly #options: EndpointDirectoryOptions;
  readonly #entries = new Map<EndpointId, DirectoryEntry>();
  /** When each removal that is held back was read. */
  readonly #heldRemovals = new Map<EndpointId, number>();
  readonly #removedAt = new Map<EndpointId, number>();
  readonly #departures = new Map<EndpointId, RecordedDeparture>();
  readonly #drainedZones = new Set<ZoneId>();
  #removalsHeldUntil = -Infinity;

  constructor(options: EndpointDirectoryOptions) {
    this.#options = options;
  }

  /** Adds or updates the registration of an endpoint. */
  update(record: EndpointRecord): void {
    this.#heldRemovals.delete(record.id);
    this.#removedAt.delete(record.id);
    this.#updateDeparture(record);
    const previous = this.#entries.get(record.id);
    const entry = { record, receivedAt: this.#options.clock.now() };
    this.#entries.set(record.id, entry);
    const isSameProcess = previous !== undefined &&
      previous.record.startedAtUnixMilliseconds ===
        record.startedAtUnixMilliseconds &&
      previous.record.host === record.host &&
      previous.record.port === record.port;
    if (!isSameProcess || previous.record.phase !== record.phase) {
      this.#log("endpoint registered", record);
    }
    this.changes.emit({ kind: pickKind(previous, isSameProcess), entry });
  }

  /**
   * Applies a registration that the store came back to from a copy. A process
   * that was leaving leaves still.
   */
  restore(record: EndpointRecord): void {
    const known = this.find(record.id);
    const wasLeaving = known?.phase === EndpointPhase.Draining &&
      known.startedAtUnixMilliseconds === record.startedAtUnixMilliseconds;
    if (wasLeaving && record.phase === EndpointPhase.Up) {
      this.#log(
        "an older registration of a leaving endpoint was ignored",
        known,
      );
      return;
    }
    this.update(record);
  }

  /**
   * Removes an endpoint whose row is gone or not usable. The removal is deferred
   * while removals are held back; not if only this VM cannot reach the store, and
   * one that can has confirmed that the row is gone.
   */
  remove(id: EndpointId, { isConfirmed = false } = {}): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) {
      return;
    }
    const isAwayForSelf = this.holdMilliseconds === Infinity;
    if (this.isHoldingRemovals && !(isConfirmed && isAwayForSelf)) {
      this.#holdRemoval(entry);
      return;
    }
    this.#removeEntry(id, entry);
  }

  /** Holds removals back until {@link scheduleRemovals} is called. */
  holdRemovals(): void {
    this.#removalsHeldUntil = Infinity;
  }

  /** Allows removals again once endpoints have had time to register. */
  scheduleRemovals(): void {
    this.#removalsHeldUntil = this.#options.clock.now() +
      REREGISTRATION_MILLISECONDS;
  }

  /**
   * Holds removals back after the store has come back from a copy, which may be
   * older than the registrations of live endpoints.
   */
  holdRestoredRemovals(): void {
    this.extendHold(REREGISTRATION_MILLISECONDS);
  }

  /**
   * Holds removals back for as long as another VM does that read them; never
   * shortens a hold of this VM's own.
   */
  extendHold(milliseconds: number): void {
    const until = this.#options.clock.now() +
      Math.min(milliseconds, REREGISTRATION_MILLISECONDS);
    this.#removalsHeldUntil = Math.max(this.#removalsHeldUntil, until);
  }

  /** For how long removals are still held back; may be infinite. */
  get holdMilliseconds(): number {
    return Math.max(0, this.#removalsHeldUntil - this.#options.clock.now());
  }

  /** Whether removals are held back. */
  get isHoldingRemovals(): boolean {
    return this.holdMilliseconds > 0;
  }

  /** The number of removals that are held back. */
  get heldRemovals(): number {
    return this.#heldRemovals.size;
  }

  /** Removes the endpoints that did not register again in time. */
  removeExpired(): void {
    this.#forgetRemovals();
    if (this.isHoldingRemovals) {
      return;
    }
    for (const id of this.#heldRemovals.keys()) {
      const entry = this.#entries.get(id);
      if (entry !== undefined) {
        this.#removeEntry(id, entry);
      }
    }
    this.#heldRemovals.clear();
  }

  /**
   * Records that an endpoint's process stated that it shuts down. It gets no
   * new requests, whatever its registration says, until another process has
   * registered.
   */
  recordDeparture(
    { endpoint, startedAtUnixMilliseconds }: EndpointDeparture,
  ): void {
    const entry = this.#entries.get(endpoint);
    const known = this.#departures.get(endpoint);
    const registeredAt = entry?.record.startedAtUnixMilliseconds;
    const startedAt = startedAtUnixMilliseconds ?? registeredAt;
    const isOutdated = startedAt !== undefined &&
      (startedAt < (registeredAt ?? -Infinity) ||
        startedAt <= (known?.startedAtUnixMilliseconds ?? -Infinity));
    if (isOutdated || (startedAt === undefined && known !== undefined)) {
      return;
    }
    const departure = { endpoint, startedAtUnixMilliseconds: startedAt };
    const recordedAt = this.#options.clock.now();
    this.#departures.set(endpoint, { ...departure, recordedAt });
    this.departures.emit(departure);
    if (entry !== undefined && this.#hasDeparted(entry.record)) {
      this.#log("endpoint announced its shutdown", entry.record);
      this.changes.emit({ kind: DirectoryChangeKind.Updated, entry });
    }
  }

  /** Lists the departures of registered endpoints. */
  listDepartures(): EndpointDeparture[] {
    const departures: EndpointDeparture[] = [];
    for (
      const { endpoint, startedAtUnixMilliseconds } of this.#departures.values()
    ) {
      if (this.#entries.has(endpoint)) {
        departures.push({ endpoint, startedAtUnixMilliseconds });
      }
    }
    return departures;
  }

  /** Starts or ends a zone's drain; returns false if nothing changed. */
  updateZoneDrain(zone: ZoneId, isDrained: boolean): boolean {
    if (this.#drainedZones.has(zone) === isDrained) {
      return false;
    }
    if (isDrained) {
      this.#drainedZones.add(zone);
    } else {
      this.#drainedZones.delete(zone);
    }
    this.#options.logger.info("zone drain changed", { zone, isDrained });
    return true;
  }

  find(id: EndpointId): EndpointRecord | undefined {
    return this.#entries.get(id)?.record;
  }

  /** Whether an endpoint accepts new requests. */
  isAvailable(id: EndpointId): boolean {
    const record = this.find(id);
    return record !== undefined && record.phase === EndpointPhase.Up &&
      !this.#drainedZones.has(record.zone) && !this.#hasDeparted(record);
  }

  /** Whether an endpoint is known not to accept new requests. */
  isClosed(id: EndpointId): boolean {
    return this.#entries.has(id)
      ? !this.isAvailable(id)
      : this.#removedAt.has(id) || this.#departures.has(id);
  }

  /** Lists all endpoints of a service, available or not. */
  listService(service: ServiceId): EndpointRecord[] {
    return [...this.#entries.values()]
      .map((entry) => entry.record)
      .filter((record) => record.service === service);
  }

  #hasDeparted({ id, startedAtUnixMilliseconds }: EndpointRecord): boolean {
    return this.#departures.get(id)?.startedAtUnixMilliseconds ===
      startedAtUnixMilliseconds;
  }

  /** Applies a departure to the process that it names, or to the first one. */
  #updateDeparture({ id, startedAtUnixMilliseconds }: EndpointRecord): void {
    const departure = this.#departures.get(id);
    if (departure === undefined) {
      return;
    }
    const departedAt = departure.startedAtUnixMilliseconds ??=
      startedAtUnixMilliseconds;
    if (departedAt < startedAtUnixMilliseconds) {
      this.#departures.delete(id);
    }
  }

  #holdRemoval({ record }: DirectoryEntry): void {
    if (this.#heldRemovals.has(record.id)) {
      return;
    }
    this.#heldRemovals.set(record.id, this.#options.clock.now());
    const hold = this.holdMilliseconds;
    this.#options.logger.info("the removal of an endpoint is held back", {
      endpoint: record.id,
      service: record.service,
      zone: record.zone,
      isStoreAway: !Number.isFinite(hold),
      holdMilliseconds: Number.isFinite(hold) ? Math.round(hold) : undefined,
    });
  }

  #removeEntry(id: EndpointId, entry: DirectoryEntry): void {
    this.#entries.delete(id);
    if (entry.record.startedAtUnixMilliseconds === 0) {
      // The next registration cannot be told from this one.
      this.#departures.delete(id);
    }
    const now = this.#options.clock.now();
    this.#removedAt.set(id, now);
    const { record } = entry;
    const address = `${record.host}:${record.port}`;
    this.#options.logger.info("endpoint removed", {
      endpoint: id,
      service: record.service,
      zone: record.zone,
      address,
      phase: record.phase,
      heldMilliseconds: Math.round(now - (this.#heldRemovals.get(id) ?? now)),
    });
    this.changes.emit({ kind: DirectoryChangeKind.Removed, entry });
  }

  #forgetRemovals(): void {
    const earliest = this.#options.clock.now() - REMOVAL_MEMORY_MILLISECONDS;
    for (const [id, { recordedAt }] of this.#departures) {
      if (recordedAt < earliest && !this.#entries.has(id)) {
        this.#departures.delete(id);
      }
    }
    for (const [id, removedAt] of this.#removedAt) {
      if (removedAt >= earliest) {
        return;
      }
      this.#removedAt.delete(id);
    }
  }

  #log(message: string, record: EndpointRecord): void {
    this.#options.logger.info(message, {
      endpoint: record.id,
      service: record.service,
      zone: record.zone,
      address: `${record.host}:${record.port}`,
      phase: record.phase,
      coldMilliseconds: record.coldMilliseconds,
    });
  }
}

function pickKind(
  previous: DirectoryEntry | undefined,
  isSameProcess: boolean,
): DirectoryChangeKind {
  if (previous === undefined) {
    return DirectoryChangeKind.Discovered;
  }
  return isSameProcess
    ? DirectoryChangeKind.Updated
    : DirectoryChangeKind.Started;
}

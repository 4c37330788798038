/** The endpoints that there are, as they register themselves. */

import { type Clock, Emitter, type Logger } from "@rattanvane/base";
import type { EndpointId, ServiceId, ZoneId } from "@rattanvane/protocol";
import {
  EndpointPhase,
  type EndpointRecord,
} from "../model/endpoint_record.ts";

/** Entries that lapsed with the store are back within this time. */
const RETURN_MILLISECONDS = 2_100;

/** An endpoint and whether it may be used. */
export interface DirectoryEntry {
  record: EndpointRecord;
  /** When the record was received, on the steady clock. */
  receivedAt: number;
}

/** What happened to an endpoint. */
export enum DirectoryChangeKind {
  /** It is new, or has started again. */
  Started = "started",
  Updated = "updated",
  Removed = "removed",
}

/** A change of one endpoint. */
export interface DirectoryChange {
  kind: DirectoryChangeKind;
  entry: DirectoryEntry;
}

/** What the directory works with. */
export interface EndpointDirectoryOptions {
  clock: Clock;
  logger: Logger;
}

/**
 * Keeps what endpoints last said. While the store is away entries may lapse
 * although their endpoints live, so removals are held back until they had
 * time to return.
 */
export class EndpointDirectory {
  readonly changes = new Emitter<DirectoryChange>();
  readonly #options: EndpointDirectoryOptions;
  readonly #entries = new Map<EndpointId, DirectoryEntry>();
  readonly #missing = new Set<EndpointId>();
  readonly #drainedZones = new Set<ZoneId>();
  #holdUntil = -Infinity;

  constructor(options: EndpointDirectoryOptions) {
    this.#options = options;
  }

  /** Takes in what an endpoint says of itself. */
  update(record: EndpointRecord): void {
    this.#missing.delete(record.id);
    const known = this.#entries.get(record.id);
    const entry = { record, receivedAt: this.#options.clock.now() };
    this.#entries.set(record.id, entry);
    const isSame = known !== undefined &&
      known.record.startedAtUnixMilliseconds ===
        record.startedAtUnixMilliseconds &&
      known.record.host === record.host && known.record.port === record.port;
    if (!isSame || known.record.phase !== record.phase) {
      this.#log("an endpoint registered", record);
    }
    const kind = isSame
      ? DirectoryChangeKind.Updated
      : DirectoryChangeKind.Started;
    this.changes.emit({ kind, entry });
  }

  /** Takes in that an endpoint's entry is gone, or names nothing to use. */
  remove(id: EndpointId): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) {
      return;
    }
    if (this.#options.clock.now() < this.#holdUntil) {
      this.#missing.add(id);
      return;
    }
    this.#drop(id, entry);
  }

  /** Holds removals back from now on. */
  noteStoreLost(): void {
    this.#holdUntil = Infinity;
  }

  /** Removals count again once entries had time to return. */
  noteStoreBack(): void {
    this.#holdUntil = this.#options.clock.now() + RETURN_MILLISECONDS;
  }

  /** Removes the endpoints whose entries did not return in time. */
  removeLapsed(): void {
    if (this.#options.clock.now() < this.#holdUntil) {
      return;
    }
    for (const id of this.#missing) {
      const entry = this.#entries.get(id);
      if (entry !== undefined) {
        this.#drop(id, entry);
      }
    }
    this.#missing.clear();
  }

  /** Starts or ends a zone's drain; returns whether that is a change. */
  updateDrain(zone: ZoneId, isDrained: boolean): boolean {
    if (this.#drainedZones.has(zone) === isDrained) {
      return false;
    }
    if (isDrained) {
      this.#drainedZones.add(zone);
    } else {
      this.#drainedZones.delete(zone);
    }
    this.#options.logger.info("a zone's drain changed", { zone, isDrained });
    return true;
  }

  find(id: EndpointId): EndpointRecord | undefined {
    return this.#entries.get(id)?.record;
  }

  /** Whether an endpoint may get new requests. */
  isOpen(id: EndpointId): boolean {
    const record = this.find(id);
    return record !== undefined && record.phase === EndpointPhase.Up &&
      !this.#drainedZones.has(record.zone);
  }

  /** Lists all endpoints of a service, open or not. */
  listService(service: ServiceId): EndpointRecord[] {
    return [...this.#entries.values()]
      .map((entry) => entry.record)
      .filter((record) => record.service === service);
  }

  #drop(id: EndpointId, entry: DirectoryEntry): void {
    this.#entries.delete(id);
    this.#log("an endpoint is gone", entry.record);
    this.changes.emit({ kind: DirectoryChangeKind.Removed, entry });
  }

  #log(sentence: string, record: EndpointRecord): void {
    this.#options.logger.info(sentence, {
      endpoint: record.id,
      service: record.service,
      zone: record.zone,
      address: `${record.host}:${record.port}`,
      phase: record.phase,
      coldMilliseconds: record.coldMilliseconds,
    });
  }
}

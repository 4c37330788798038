/** Reads and writes the records of roll-outs in the store. */

import type { TableFeed } from "@rattanvane/platform";
import type { ServiceId } from "@rattanvane/protocol";
import type { RowDecoder } from "../state/row_decoder.ts";
import {
  decodeRecord,
  encodeRecord,
  type RolloutOrder,
  RolloutPhase,
  type RolloutRecord,
} from "./rollout_record.ts";

const TABLE = "rollouts";

/** A service's record with the version of its row; 0 without a row. */
export interface StoredRecord {
  version: number;
  record: RolloutRecord | undefined;
}

/** What the store holds of a service's order. */
export interface StoredOrder {
  /** Undefined if there is none. */
  order: RolloutOrder | undefined;
}

/** Dependencies of a {@link RolloutStore}. */
export interface RolloutStoreOptions {
  feed: TableFeed;
  decoder: RowDecoder;
}

/** Writes each record together with the status that the operator reads. */
export class RolloutStore {
  readonly #options: RolloutStoreOptions;

  constructor(options: RolloutStoreOptions) {
    this.#options = options;
  }

  /** Reads a service's record; undefined if the store does not answer. */
  async read(
    service: ServiceId,
    signal: AbortSignal,
  ): Promise<StoredRecord | undefined> {
    const table = await this.#options.feed.readTable(TABLE, signal);
    if (table.isErr()) {
      return undefined;
    }
    const row = table.value.rows.find(({ key }) => key === service);
    return {
      version: row?.version ?? 0,
      record: row === undefined ? undefined : decodeRecord(row.value),
    };
  }

  /** Reads the operator's order; undefined if the store does not answer. */
  async readOrder(
    service: ServiceId,
    signal: AbortSignal,
  ): Promise<StoredOrder | undefined> {
    const { feed, decoder } = this.#options;
    const table = await feed.readTable(decoder.tables.operator, signal);
    if (table.isErr()) {
      return undefined;
    }
    const row = table.value.rows.find(({ key }) =>
      decoder.findRolloutService(key) === service
    );
    const order = row === undefined
      ? undefined
      : decoder.decodeRolloutOrder(row.key, row.value);
    return { order };
  }

  /**
   * Replaces a record as it was read. Returns false if it has changed, or the
   * store has not confirmed the write; read it again to tell.
   */
  async replace(
    stored: StoredRecord,
    record: RolloutRecord,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { feed, decoder } = this.#options;
    const { service } = record;
    const status = decoder.encodeRolloutStatus({
      service,
      version: record.version,
      phase: record.phase,
    });
    const isStatusNew = stored.record?.phase !== record.phase ||
      stored.record.version !== record.version ||
      record.phase !== RolloutPhase.InProgress;
    const written = await feed.writeRowsIf({
      conditions: [{ table: TABLE, key: service, version: stored.version }],
      rows: [
        { table: TABLE, key: service, value: encodeRecord(record) },
        ...(isStatusNew ? [status] : []),
      ],
    }, signal);
    return written.isOk();
  }
}

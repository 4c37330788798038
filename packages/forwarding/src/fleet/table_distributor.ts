/** Passes table replicas and their age on between VMs. */

import type { Clock, Logger } from "@rattanvane/base";
import {
  type CopiedRow,
  MAXIMUM_FRAME_BYTES,
  MessageKind,
  type MessageSender,
  type NamedTableAge,
  type RequestTableMessage,
  type TableAge,
  type TableChangesMessage,
  type TableCopyMessage,
  type VmId,
} from "@rattanvane/protocol";
import type { ClockReading } from "../state/freshness.ts";
import {
  comparePositions,
  type TablePosition,
} from "../state/table_position.ts";
import type { TableReplica, TableUpdate } from "../state/table_replica.ts";

/** Minimum time between two requests for a copy of the same table. */
const TABLE_REQUEST_INTERVAL_MILLISECONDS = 300;
/** Larger tables are not sent, and each VM reads them from the store. */
const MAX_COPY_BYTES = MAXIMUM_FRAME_BYTES * 0.75;

/** Messages that carry rows of tables. */
export type TableMessage =
  | RequestTableMessage
  | TableCopyMessage
  | TableChangesMessage;

/** Dependencies of a {@link TableDistributor}. */
export interface TableDistributorOptions {
  replicas: readonly TableReplica[];
  sender: MessageSender;
  clock: Clock;
  logger: Logger;
  /** Lists the VMs to which changes are sent. */
  listReceivers: () => Iterable<VmId>;
  /**
   * For how long this VM holds back removals that may be due to an outage of
   * the store; infinite during one.
   */
  computeHold: () => number;
  /**
   * Called before removals are applied that another VM holds back for this
   * time; infinite if it does not know for how long.
   */
  extendHold: (milliseconds: number) => void;
}

/** Sends changes to other VMs at once, and whole copies on request. */
export class TableDistributor {
  readonly #options: TableDistributorOptions;
  readonly #requestedAt = new Map<string, number>();

  constructor(options: TableDistributorOptions) {
    this.#options = options;
  }

  /** Sends the changes of the replicas until the signal aborts. */
  start(signal: AbortSignal): void {
    for (const replica of this.#options.replicas) {
      replica.updates.listen(
        (update) => this.#sendUpdate(replica, update),
        signal,
      );
    }
  }

  /** Lists the ages of the replicas that have been confirmed. */
  listAges(): NamedTableAge[] {
    const ages: NamedTableAge[] = [];
    for (const replica of this.#options.replicas) {
      const age = buildAge(replica);
      if (age !== undefined) {
        ages.push({ table: replica.table, ...age });
      }
    }
    return ages;
  }

  /**
   * Merges the age that another VM reported of its replica. The report answers
   * a message of this VM that was sent at `sentAt`; counting the age from then
   * never makes the replica seem newer than it is.
   */
  mergeAge(
    from: VmId,
    reported: NamedTableAge,
    sentAt: ClockReading | undefined,
  ): void {
    const replica = this.#findReplica(reported.table);
    if (replica === undefined) {
      return;
    }
    const isSame = reported.digest === replica.digest;
    const position = buildPosition(reported);
    if (isSame) {
      replica.confirmPosition(position);
    }
    const order = comparePositions(position, replica);
    if (order === 0 && !isSame && position.era > 0) {
      // One of the two keeps a later row than the one that was restored.
      this.requestTable(from, replica);
    }
    if (isSame || order <= 0) {
      if (sentAt !== undefined && replica.version >= 0) {
        replica.confirmAge(sentAt, reported.ageMilliseconds);
      }
      return;
    }
    if (replica.reliesOnCopies) {
      this.requestTable(from, replica);
    }
  }

  /** Handles a request for a table, a copy of one or changes to one. */
  handle(from: VmId, message: TableMessage): void {
    switch (message.kind) {
      case MessageKind.RequestTable:
        return this.#sendCopy(from, message.table);
      case MessageKind.TableCopy:
        return this.#mergeCopy(from, message);
      case MessageKind.TableChanges:
        return this.#mergeChanges(from, message);
    }
  }

  /** Requests a VM's copy of a table, unless one was requested just before. */
  requestTable(from: VmId, { table }: TableReplica): void {
    const { clock, sender } = this.#options;
    const now = clock.now();
    const requestedAt = this.#requestedAt.get(table) ?? -Infinity;
    if (now - requestedAt >= TABLE_REQUEST_INTERVAL_MILLISECONDS) {
      this.#requestedAt.set(table, now);
      sender.send(from, { kind: MessageKind.RequestTable, table });
    }
  }

  #sendUpdate({ table }: TableReplica, update: TableUpdate): void {
    const { sender, listReceivers, logger, computeHold } = this.#options;
    const ownHold = computeHold();
    // What a VM does not remove itself, it does not report as gone.
    const hold = update.isConfirmed && ownHold === Infinity ? 0 : ownHold;
    const rows = update.rows.map(convertRow);
    if (sumBytes(rows) > MAX_COPY_BYTES) {
      logger.warn("changes of a table are too large to send to other VMs", {
        table,
        bytes: sumBytes(rows),
      });
      return;
    }
    const message: TableChangesMessage = {
      kind: MessageKind.TableChanges,
      table,
      digestBefore: update.digestBefore,
      digest: update.digest,
      ...buildMessagePosition(update),
      rows,
      removedKeys: [...update.removedKeys],
      isAfterOutage: hold > 0,
      ...(Number.isFinite(hold) ? { holdMilliseconds: hold } : {}),
    };
    for (const receiver of listReceivers()) {
      sender.send(receiver, message);
    }
  }

  #sendCopy(to: VmId, table: string): void {
    const replica = this.#findReplica(table);
    if (replica === undefined || replica.version < 0) {
      return;
    }
    const rows = replica.listRows().map(convertRow);
    const hold = this.#options.computeHold();
    if (sumBytes(rows) > MAX_COPY_BYTES) {
      this.#options.logger.warn("table is too large to send to another VM", {
        table,
        to,
        bytes: sumBytes(rows),
      });
      return;
    }
    this.#options.sender.send(to, {
      kind: MessageKind.TableCopy,
      table,
      ...buildMessagePosition(replica),
      rows,
      ...(Number.isFinite(hold) ? { holdMilliseconds: hold } : {}),
    });
  }

  #mergeCopy(from: VmId, copy: TableCopyMessage): void {
    const replica = this.#findReplica(copy.table);
    const position = buildPosition(copy);
    if (replica === undefined || comparePositions(position, replica) < 0) {
      return;
    }
    this.#options.logger.info("accepted another VM's copy of a table", {
      from,
      table: copy.table,
      version: copy.version,
      era: position.era,
      former: replica.version,
    });
    const { holdMilliseconds = 0 } = copy;
    if (replica.reliesOnCopies && holdMilliseconds > 0) {
      this.#options.extendHold(holdMilliseconds);
    }
    replica.mergeCopy({
      ...copy,
      ...position,
      isConfirmed: replica.reliesOnCopies && copy.holdMilliseconds === 0,
    });
  }

  #mergeChanges(from: VmId, changes: TableChangesMessage): void {
    const replica = this.#findReplica(changes.table);
    const position = buildPosition(changes);
    if (replica === undefined || comparePositions(position, replica) <= 0) {
      return;
    }
    // A VM that follows the store itself knows whether there was an outage.
    if (
      changes.isAfterOutage && changes.removedKeys.length > 0 &&
      replica.reliesOnCopies
    ) {
      this.#options.extendHold(changes.holdMilliseconds ?? Infinity);
    }
    const isConfirmed = replica.reliesOnCopies && !changes.isAfterOutage;
    if (!replica.mergeUpdate({ ...changes, ...position, isConfirmed })) {
      this.requestTable(from, replica);
    }
  }

  #findReplica(table: string): TableReplica | undefined {
    return this.#options.replicas.find((replica) => replica.table === table);
  }
}

/** Describes a replica's age; undefined before its first confirmation. */
export function buildAge(replica: TableReplica): TableAge | undefined {
  const age = replica.freshness.computeAge();
  if (replica.version < 0 || !Number.isFinite(age)) {
    return undefined;
  }
  return {
    ...buildMessagePosition(replica),
    digest: replica.digest,
    ageMilliseconds: Math.ceil(age),
  };
}

/** The first era is left out of messages. */
function buildMessagePosition(
  { era, version }: TablePosition,
): { era?: number; version: number } {
  return era === 0 ? { version } : { era, version };
}

function buildPosition(
  { era, version }: { era?: number; version: number },
): TablePosition {
  return { era: era ?? 0, version };
}

function convertRow({ key, version, value }: CopiedRow): CopiedRow {
  return { key, version, value };
}

function sumBytes(rows: readonly CopiedRow[]): number {
  let bytes = 0;
  for (const { key, value } of rows) {
    bytes += key.length + value.length;
  }
  return bytes;
}

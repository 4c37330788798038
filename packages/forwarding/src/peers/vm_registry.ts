/** The fleet's VM list, which each VM keeps current in the store. */

import { Buffer } from "node:buffer";
import { type Clock, describeError, type Logger } from "@rattanvane/base";
import type { FeedRow, TableFeed } from "@rattanvane/platform";
import type { VmContact, VmId } from "@rattanvane/protocol";

const TABLE = "vms";
const READ_INTERVAL_MILLISECONDS = 5_000;
/** Between the first reads, and before a failed write is retried. */
const SHORT_INTERVAL_MILLISECONDS = 1_000;
const INITIAL_READS = 4;
const WRITE_INTERVAL_MILLISECONDS = 10_000;
/** A VM that has not updated its row for this time counts as gone. */
const EXPIRY_MILLISECONDS = 30_000;

interface KnownRow {
  /** Undefined for a row that holds no valid contact. */
  contact: VmContact | undefined;
  version: number;
  /** When this VM first read this version, in milliseconds. */
  changedAt: number;
}

/** Dependencies of a {@link VmRegistry}. */
export interface VmRegistryOptions {
  self: VmContact;
  feed: TableFeed;
  clock: Clock;
  logger: Logger;
  /** Called for each live VM after every read; must be idempotent. */
  addContact: (contact: VmContact) => void;
  /** Called for each VM that is no longer live. */
  removeContact: (vm: VmId) => void;
}

/** Registers this VM in the store and discovers the others. */
export class VmRegistry {
  readonly #options: VmRegistryOptions;
  readonly #rows = new Map<VmId, KnownRow>();
  readonly #liveVms = new Set<VmId>();

  constructor(options: VmRegistryOptions) {
    this.#options = options;
  }

  /** Lists the other VMs that have updated their rows recently. */
  listOthers(): VmId[] {
    return [...this.#liveVms];
  }

  /** Writes this VM's row and reads the list until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.#runWrites(signal), this.#runReads(signal)]);
  }

  /** Removes this VM from the list. */
  async removeSelf(signal: AbortSignal): Promise<void> {
    const { feed, self, logger } = this.#options;
    const removed = await feed.removeRow(
      { table: TABLE, key: self.vm },
      signal,
    );
    if (removed.isErr()) {
      logger.warn("this VM could not be removed from the VM list", {
        reason: removed.error.message,
      });
    }
  }

  async #runWrites(signal: AbortSignal): Promise<void> {
    const { feed, self, clock, logger } = this.#options;
    const value = Buffer.from(JSON.stringify(self));
    while (!signal.aborted) {
      const row = { table: TABLE, key: self.vm, value };
      const written = await feed.writeRow(row, signal);
      if (written.isErr() && !signal.aborted) {
        logger.warn("this VM could not be written to the VM list", {
          reason: written.error.message,
        });
      }
      const interval = written.isOk()
        ? WRITE_INTERVAL_MILLISECONDS
        : SHORT_INTERVAL_MILLISECONDS;
      await clock.sleep(interval, signal);
    }
  }

  async #runReads(signal: AbortSignal): Promise<void> {
    for (let reads = 0; !signal.aborted; reads++) {
      await this.#read(signal);
      const interval = reads < INITIAL_READS
        ? SHORT_INTERVAL_MILLISECONDS
        : READ_INTERVAL_MILLISECONDS;
      await this.#options.clock.sleep(interval, signal);
    }
  }

  async #read(signal: AbortSignal): Promise<void> {
    const { feed, logger, clock, self } = this.#options;
    const table = await feed.readTable(TABLE, signal);
    if (table.isErr()) {
      if (!signal.aborted) {
        logger.warn("VM list could not be read", {
          reason: table.error.message,
        });
      }
      return;
    }
    const now = clock.now();
    const presentVms = new Set<VmId>();
    for (const row of table.value.rows) {
      if (row.key !== self.vm) {
        presentVms.add(row.key);
        this.#recordRow(row, now);
      }
    }
    for (const vm of this.#rows.keys()) {
      this.#updateVm(vm, { isPresent: presentVms.has(vm), now });
    }
  }

  #recordRow(row: FeedRow, now: number): void {
    if (this.#rows.get(row.key)?.version === row.version) {
      return;
    }
    const contact = this.#parseContact(row.value);
    const { version } = row;
    this.#rows.set(row.key, { contact, version, changedAt: now });
  }

  #updateVm(
    vm: VmId,
    { isPresent, now }: { isPresent: boolean; now: number },
  ): void {
    const row = this.#rows.get(vm);
    const isLive = isPresent && row?.contact !== undefined &&
      now - row.changedAt <= EXPIRY_MILLISECONDS;
    if (!isPresent) {
      this.#rows.delete(vm);
    }
    if (isLive && row?.contact !== undefined) {
      this.#addVm(vm, row.contact);
    } else if (!isLive && this.#liveVms.delete(vm)) {
      this.#options.removeContact(vm);
      this.#options.logger.info("VM removed from the peer list", { vm });
    }
  }

  #addVm(vm: VmId, contact: VmContact): void {
    this.#options.addContact(contact);
    if (!this.#liveVms.has(vm)) {
      this.#liveVms.add(vm);
      this.#options.logger.info("VM added to the peer list", { vm });
    }
  }

  #parseContact(value: Uint8Array): VmContact | undefined {
    try {
      const parsed = JSON.parse(Buffer.from(value).toString("utf8"));
      const { vm, zone, host, controlPort, callerPort } = parsed;
      const isValid = typeof vm === "string" && typeof zone === "string" &&
        typeof host === "string" && typeof controlPort === "number";
      return isValid ? { vm, zone, host, controlPort, callerPort } : undefined;
    } catch (thrown) {
      this.#options.logger.warn("row of the VM list could not be decoded", {
        reason: describeError(thrown),
      });
      return undefined;
    }
  }
}

/** The VMs of the fleet, as they list themselves in the store. */

import { Buffer } from "node:buffer";
import { type Clock, describeError, type Logger } from "@rattanvane/base";
import type { FeedRow, TableFeed } from "@rattanvane/platform";
import type { VmContact, VmId } from "@rattanvane/protocol";

const TABLE = "vms";
const READ_PERIOD_MILLISECONDS = 5_000;
const FIRST_READ_PERIOD_MILLISECONDS = 1_000;
const QUICK_READS = 4;
const WRITE_PERIOD_MILLISECONDS = 10_000;
/** A VM that has not written for so long is gone. */
const EXPIRY_MILLISECONDS = 30_000;

interface SeenRow {
  /** Undefined for a row that is no contact. */
  contact: VmContact | undefined;
  version: number;
  changedAt: number;
}

/** What the registry works with. */
export interface VmRegistryOptions {
  self: VmContact;
  feed: TableFeed;
  clock: Clock;
  logger: Logger;
  /** Called for each VM that is listed. */
  learn: (contact: VmContact) => void;
  /** Called for each VM that is gone. */
  forget: (vm: VmId) => void;
}

/** Lists this VM and reads the others. */
export class VmRegistry {
  readonly #options: VmRegistryOptions;
  readonly #rows = new Map<VmId, SeenRow>();
  readonly #listed = new Set<VmId>();

  constructor(options: VmRegistryOptions) {
    this.#options = options;
  }

  /** Other VMs that have written lately. */
  listOthers(): VmId[] {
    return [...this.#listed];
  }

  /** Writes and reads the list until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.#runWrites(signal), this.#runReads(signal)]);
  }

  /** Takes this VM off the list. */
  async removeSelf(signal: AbortSignal): Promise<void> {
    const { feed, self, logger } = this.#options;
    const removed = await feed.removeRow(
      { table: TABLE, key: self.vm },
      signal,
    );
    if (removed.isErr()) {
      logger.warn("this VM stays listed", { reason: removed.error.message });
    }
  }

  async #runWrites(signal: AbortSignal): Promise<void> {
    const { feed, self, clock, logger } = this.#options;
    const value = Buffer.from(JSON.stringify(self));
    while (!signal.aborted) {
      const row = { table: TABLE, key: self.vm, value };
      const written = await feed.writeRow(row, signal);
      if (written.isErr() && !signal.aborted) {
        logger.warn("this VM could not be listed", {
          reason: written.error.message,
        });
      }
      const pause = written.isOk()
        ? WRITE_PERIOD_MILLISECONDS
        : FIRST_READ_PERIOD_MILLISECONDS;
      await clock.sleep(pause, signal);
    }
  }

  async #runReads(signal: AbortSignal): Promise<void> {
    for (let reads = 0; !signal.aborted; reads++) {
      await this.#read(signal);
      const pause = reads < QUICK_READS
        ? FIRST_READ_PERIOD_MILLISECONDS
        : READ_PERIOD_MILLISECONDS;
      await this.#options.clock.sleep(pause, signal);
    }
  }

  async #read(signal: AbortSignal): Promise<void> {
    const { feed, logger, clock, self } = this.#options;
    const table = await feed.readTable(TABLE, signal);
    if (table.isErr()) {
      if (!signal.aborted) {
        logger.warn("the list of VMs could not be read", {
          reason: table.error.message,
        });
      }
      return;
    }
    const now = clock.now();
    const present = new Set<VmId>();
    for (const row of table.value.rows) {
      if (row.key !== self.vm) {
        present.add(row.key);
        this.#noteRow(row, now);
      }
    }
    for (const vm of this.#rows.keys()) {
      this.#judgeVm(vm, { isPresent: present.has(vm), now });
    }
  }

  #noteRow(row: FeedRow, now: number): void {
    if (this.#rows.get(row.key)?.version === row.version) {
      return;
    }
    const contact = this.#parseContact(row.value);
    const { version } = row;
    this.#rows.set(row.key, { contact, version, changedAt: now });
  }

  #judgeVm(
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
      this.#add(vm, row.contact);
    } else if (!isLive && this.#listed.delete(vm)) {
      this.#options.forget(vm);
      this.#options.logger.info("a VM is no longer listed", { vm });
    }
  }

  #add(vm: VmId, contact: VmContact): void {
    this.#options.learn(contact);
    if (!this.#listed.has(vm)) {
      this.#listed.add(vm);
      this.#options.logger.info("a VM is listed", { vm });
    }
  }

  #parseContact(value: Uint8Array): VmContact | undefined {
    try {
      const parsed = JSON.parse(Buffer.from(value).toString("utf8"));
      const { vm, zone, host, controlPort, callerPort } = parsed;
      const isWhole = typeof vm === "string" && typeof zone === "string" &&
        typeof host === "string" && typeof controlPort === "number";
      return isWhole ? { vm, zone, host, controlPort, callerPort } : undefined;
    } catch (thrown) {
      this.#options.logger.warn("a listed VM cannot be read", {
        reason: describeError(thrown),
      });
      return undefined;
    }
  }
}

/** The list of VMs in the store, from which a starting VM finds the others. */

import { Buffer } from "node:buffer";
import {
  ChildAbort,
  type Clock,
  describeError,
  type Emitter,
  type Logger,
  type RandomSource,
} from "@rattanvane/base";
import type { TableFeed } from "@rattanvane/platform";
import type { VmContact, VmId } from "@rattanvane/protocol";

const TABLE = "vms";
const RETRY_MILLISECONDS = 1_000;
/** All VMs write their rows again, so they spread the calls over this time. */
const MAX_REWRITE_DELAY_MILLISECONDS = 1_500;
/** Followers read the list again, so that separated groups find each other. */
const REREAD_MILLISECONDS = 15_000;
/** Rows of VMs that did not answer at this many reads are removed. */
const READS_UNTIL_REMOVAL = 4;

/** Dependencies of a {@link VmList}. */
export interface VmListOptions {
  self: VmContact;
  feed: TableFeed;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  /** Whether this VM reads the list again after its start. */
  isFollower: () => boolean;
  /** Whether a VM of this VM's zone answers. */
  isAnswering: (vm: VmId) => boolean;
  /** Emits when the store has come back from a copy without the latest rows. */
  storeRestored: Emitter<void>;
  /** Called with the other VMs after every read. */
  addContacts: (contacts: readonly VmContact[]) => void;
}

/**
 * Registers this VM in the store and reads the others once. The list only tells
 * where VMs may be; which of them are live is found by gossip.
 */
export class VmList {
  readonly #options: VmListOptions;
  /** Reads at which a listed VM of this zone did not answer. */
  readonly #missedReads = new Map<VmId, number>();
  #size: number | undefined;
  #otherZones: readonly VmContact[] = [];
  #isRewriteRequested = false;
  #hasLeft = false;
  #wait: ChildAbort | undefined;

  constructor(options: VmListOptions) {
    this.#options = options;
  }

  /** The number of listed VMs; undefined until the list was read. */
  get size(): number | undefined {
    return this.#size;
  }

  /** The VMs of other zones when the list was last read. */
  get otherZones(): readonly VmContact[] {
    return this.#otherZones;
  }

  /** Writes this VM's row, then reads the list, until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    this.#options.storeRestored.listen(() => this.#requestRewrite(), signal);
    await this.#retry(() => this.#writeSelf(signal), signal);
    await this.#retry(() => this.#read(signal), signal);
    const { clock, isFollower } = this.#options;
    while (!signal.aborted) {
      const wait = new ChildAbort(signal);
      this.#wait = wait;
      if (!this.#isRewriteRequested) {
        await clock.sleep(REREAD_MILLISECONDS, wait.signal);
      }
      wait.abort();
      if (this.#isRewriteRequested) {
        await this.#rewriteSelf(signal);
      } else if (isFollower() && !signal.aborted) {
        await this.#read(signal);
      }
    }
  }

  #requestRewrite(): void {
    this.#isRewriteRequested = true;
    this.#wait?.abort();
  }

  /** Writes this VM's row again, which the store may have lost. */
  async #rewriteSelf(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.#options;
    await clock.sleep(
      MAX_REWRITE_DELAY_MILLISECONDS * random.nextFraction(),
      signal,
    );
    this.#isRewriteRequested = false;
    if (!this.#hasLeft) {
      await this.#retry(() => this.#writeSelf(signal), signal);
    }
  }

  /** Removes this VM from the list. */
  async removeSelf(signal: AbortSignal): Promise<void> {
    this.#hasLeft = true;
    await this.#removeRow(this.#options.self.vm, signal);
  }

  async #retry(
    run: () => Promise<boolean>,
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted && !await run()) {
      await this.#options.clock.sleep(RETRY_MILLISECONDS, signal);
    }
  }

  async #writeSelf(signal: AbortSignal): Promise<boolean> {
    const { feed, self, logger } = this.#options;
    const value = Buffer.from(JSON.stringify(self));
    const row = { table: TABLE, key: self.vm, value };
    const written = await feed.writeRow(row, signal);
    if (written.isErr() && !signal.aborted) {
      logger.warn("this VM could not be written to the VM list", {
        reason: written.error.message,
      });
    }
    return written.isOk();
  }

  async #read(signal: AbortSignal): Promise<boolean> {
    const { feed, logger, self, addContacts } = this.#options;
    const table = await feed.readTable(TABLE, signal);
    if (table.isErr()) {
      if (!signal.aborted) {
        logger.warn("VM list could not be read", {
          reason: table.error.message,
        });
      }
      return false;
    }
    const contacts: VmContact[] = [];
    for (const { value } of table.value.rows) {
      const contact = this.#parseContact(value);
      if (contact !== undefined && contact.vm !== self.vm) {
        contacts.push(contact);
      }
    }
    this.#size = contacts.length + 1;
    this.#otherZones = contacts.filter(({ zone }) => zone !== self.zone);
    logger.info("VM list was read", { vms: this.#size });
    addContacts(contacts);
    await this.#removeMissing(contacts, signal);
    return true;
  }

  async #removeMissing(
    contacts: readonly VmContact[],
    signal: AbortSignal,
  ): Promise<void> {
    const { self, isAnswering } = this.#options;
    for (const { vm, zone } of contacts) {
      if (zone !== self.zone || isAnswering(vm)) {
        this.#missedReads.delete(vm);
        continue;
      }
      const missed = (this.#missedReads.get(vm) ?? 0) + 1;
      this.#missedReads.set(vm, missed);
      if (missed >= READS_UNTIL_REMOVAL) {
        this.#missedReads.delete(vm);
        await this.#removeRow(vm, signal);
      }
    }
  }

  async #removeRow(vm: VmId, signal: AbortSignal): Promise<void> {
    const { feed, logger } = this.#options;
    const removed = await feed.removeRow({ table: TABLE, key: vm }, signal);
    if (removed.isErr()) {
      logger.warn("a VM could not be removed from the VM list", {
        vm,
        reason: removed.error.message,
      });
    }
  }

  #parseContact(value: Uint8Array): VmContact | undefined {
    try {
      const parsed = JSON.parse(Buffer.from(value).toString("utf8"));
      const { vm, zone, host, controlPort, callerPort, capacity } = parsed;
      const isValid = typeof vm === "string" && typeof zone === "string" &&
        typeof host === "string" && typeof controlPort === "number";
      return isValid
        ? { vm, zone, host, controlPort, callerPort, capacity }
        : undefined;
    } catch (thrown) {
      this.#options.logger.warn("row of the VM list could not be decoded", {
        reason: describeError(thrown),
      });
      return undefined;
    }
  }
}

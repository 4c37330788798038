/** Keeps this VM in step with the scheduler of its requests. */

import { createHash } from "node:crypto";
import { type Clock, Emitter, type Logger } from "@rattanvane/base";
import {
  type MemberSyncReplyMessage,
  MessageKind,
  type MessageSender,
  type VmContact,
  type VmId,
} from "@rattanvane/protocol";
import type { RemoteAdmission } from "../admission/remote_admission.ts";
import type { SchedulerSelector } from "../admission/scheduler_selector.ts";
import type { ClockReading, Freshness } from "../state/freshness.ts";
import type { RolloutCoordinator } from "../rollouts/rollout_coordinator.ts";
import type { TableDistributor } from "./table_distributor.ts";

const SYNC_PERIOD_MILLISECONDS = 400;
/** A scheduler that has not replied to a sync within this time is lost. */
const REPLY_TIMEOUT_MILLISECONDS = 700;
const DIGEST_CHARACTERS = 12;

/** Dependencies of a {@link MemberSync}. */
export interface MemberSyncOptions {
  selector: SchedulerSelector;
  admission: RemoteAdmission;
  tables: TableDistributor;
  rollouts?: RolloutCoordinator | undefined;
  /** The digest of the live VMs in this VM's zone. */
  readZoneDigest: () => string;
  /** Reads both clocks when a sync is sent. */
  freshness: Freshness;
  sender: MessageSender;
  clock: Clock;
  logger: Logger;
}

interface SentSync {
  scheduler: VmId;
  sentAt: ClockReading;
}

/**
 * Tells the scheduler which entries this VM still has, and learns how fresh the
 * scheduler's tables are, how many VMs there are and who else schedules.
 */
export class MemberSync {
  /** Emits the schedulers of all zones as the scheduler named them. */
  readonly schedulerLists = new Emitter<readonly VmContact[]>();
  readonly #options: MemberSyncOptions;
  readonly #sent = new Map<number, SentSync>();
  #sequence = 0;
  #fleetVms = 0;
  #schedulersDigest = "";

  constructor(options: MemberSyncOptions) {
    this.#options = options;
  }

  /** The number of VMs that the scheduler last stated; 0 if it has not. */
  get fleetVms(): number {
    return this.#fleetVms;
  }

  /** Sends syncs until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, selector } = this.#options;
    while (!signal.aborted) {
      this.#checkReplies();
      const scheduler = selector.pick();
      if (scheduler !== undefined) {
        this.#send(scheduler);
      }
      await clock.sleep(SYNC_PERIOD_MILLISECONDS, signal);
    }
  }

  /** Handles a scheduler's reply. */
  handle(from: VmId, message: MemberSyncReplyMessage): void {
    const { tables, selector } = this.#options;
    const sent = this.#sent.get(message.sequence);
    if (sent?.scheduler !== from) {
      return;
    }
    for (const sequence of this.#sent.keys()) {
      if (sequence <= message.sequence) {
        this.#sent.delete(sequence);
      }
    }
    for (const age of message.tables) {
      tables.mergeAge(from, age, sent.sentAt);
    }
    this.#fleetVms = message.fleetVms;
    this.#options.rollouts?.mergeRecords(message.rollouts ?? []);
    if (message.schedulers !== undefined) {
      this.#schedulersDigest = hashSchedulers(message.schedulers);
      this.schedulerLists.emit(message.schedulers);
    }
    if (!message.isScheduler && selector.current === from) {
      selector.recordLoss(from, "not a scheduler");
    }
  }

  #send(scheduler: VmId): void {
    const { sender, admission, freshness } = this.#options;
    this.#sequence++;
    this.#sent.set(this.#sequence, {
      scheduler,
      sentAt: freshness.readClocks(),
    });
    sender.send(scheduler, {
      kind: MessageKind.MemberSync,
      sequence: this.#sequence,
      waiting: admission.listWaiting(scheduler),
      running: admission.listRunning(),
      schedulersDigest: this.#schedulersDigest,
      zoneDigest: this.#options.readZoneDigest(),
    });
  }

  #checkReplies(): void {
    const { clock, selector } = this.#options;
    const earliest = clock.now() - REPLY_TIMEOUT_MILLISECONDS;
    for (const [sequence, { scheduler, sentAt }] of this.#sent) {
      if (sentAt.steady < earliest) {
        this.#sent.delete(sequence);
        if (selector.current === scheduler) {
          selector.recordLoss(scheduler, "no reply to a sync");
        }
      }
    }
  }
}

/** Returns a text that is equal for equal lists of schedulers. */
export function hashSchedulers(schedulers: readonly VmContact[]): string {
  return createHash("sha256")
    .update(schedulers.map(({ vm }) => vm).sort().join("\n"))
    .digest("hex")
    .slice(0, DIGEST_CHARACTERS);
}

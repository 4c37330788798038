/** Gets places in queues and grants for the requests of this ingress. */

import {
  ChildAbort,
  type Clock,
  Deferred,
  type Logger,
} from "@rattanvane/base";
import {
  type AttemptOutcome,
  type EntryMovedMessage,
  formatPool,
  type GrantMessage,
  type IngressMessage,
  MessageKind,
  type MessageSender,
  type NotSchedulerMessage,
  type PoolId,
  RefusalReason,
  type RefuseMessage,
  type RequestWorkMessage,
  type VmId,
} from "@rattanvane/protocol";
import type { CallLedger } from "./call_ledger.ts";
import { CostReporter } from "./cost_reporter.ts";
import {
  CallPhase,
  type GrantAnswer,
  type LedgerEntry,
} from "./ledger_entry.ts";
import type { SchedulerDirectory } from "./scheduler_directory.ts";

const SWEEP_MILLISECONDS = 250;
const REPORT_AGAIN_MILLISECONDS = 10_000;
const RETRY_AFTER_MILLISECONDS = 1_000;

/** What the dispatcher works with. */
export interface DispatcherOptions {
  self: VmId;
  ledger: CallLedger;
  directory: SchedulerDirectory;
  sender: MessageSender;
  clock: Clock;
  logger: Logger;
}

/** How an attempt ended. */
export interface AttemptReport {
  outcome: AttemptOutcome;
  cost: number;
  firstByteMilliseconds: number;
  durationMilliseconds: number;
  bootId: string;
}

/** Speaks to the schedulers for the requests in the ledger. */
export class Dispatcher {
  readonly #options: DispatcherOptions;

  constructor(options: DispatcherOptions) {
    this.#options = options;
  }

  /**
   * Queues a request and waits for its next grant, or for a refusal. The
   * grant is marked as running when this returns. Throws nothing; when the
   * signal aborts, the place in the queue is given up.
   */
  async waitForGrant(
    entry: LedgerEntry,
    signal: AbortSignal,
  ): Promise<GrantAnswer> {
    entry.phase = CallPhase.Waiting;
    entry.grant = new Deferred<GrantAnswer>();
    entry.pool = undefined;
    entry.scheduler = undefined;
    this.#route(entry);
    const timer = new ChildAbort(signal);
    const expired = this.#expire(entry, timer.signal);
    const first = await Promise.race([entry.grant.promise, expired]);
    timer.abort();
    // A grant may have been accepted at the moment the time was over.
    const answer = entry.current === undefined
      ? first
      : await entry.grant.promise;
    if (answer.kind === MessageKind.Refuse) {
      this.#leaveQueue(entry);
    }
    return answer;
  }

  /** Reports the end of the current attempt and frees its slot. */
  finish(entry: LedgerEntry, report: AttemptReport): void {
    const current = entry.current;
    if (current === undefined) {
      return;
    }
    entry.current = undefined;
    entry.phase = CallPhase.Idle;
    entry.pool = undefined;
    const scheduler = this.#options.directory.findScheduler(current.pool);
    if (scheduler === undefined) {
      return;
    }
    this.#options.sender.send(scheduler, {
      kind: MessageKind.Finish,
      pool: current.pool,
      request: entry.call.request,
      attempt: current.attempt,
      endpoint: current.endpoint,
      ...report,
    });
  }

  /** Handles a scheduler's message. */
  handle(from: VmId, message: IngressMessage): void {
    switch (message.kind) {
      case MessageKind.Grant:
        this.#handleGrant(from, message);
        return;
      case MessageKind.Refuse:
        this.#handleRefusal(message);
        return;
      case MessageKind.RequestWork:
        this.#handleRequestWork(from, message);
        return;
      case MessageKind.NotScheduler:
        this.#handleNotScheduler(from, message);
        return;
      case MessageKind.EntryMoved:
        this.#handleMoved(message);
    }
  }

  /** Tells a scheduler everything of a pool that waits or runs here. */
  reportPool(pool: PoolId, scheduler: VmId): void {
    const now = this.#options.clock.now();
    const entries = this.#options.ledger.listPool(pool);
    const waiting = entries.filter((entry) =>
      entry.phase === CallPhase.Waiting
    );
    for (const entry of waiting) {
      entry.scheduler = scheduler;
      entry.reportedAt = now;
    }
    this.#options.sender.send(scheduler, {
      kind: MessageKind.WorkReport,
      pool,
      waiting: waiting.map((entry) =>
        entry.describeWaiting(this.#options.self, now)
      ),
      running: entries.flatMap((entry) => entry.describeRunning() ?? []),
    });
  }

  /** Tells a pool's new scheduler what this ingress has of the pool. */
  followTerm(pool: PoolId): void {
    const scheduler = this.#options.directory.findScheduler(pool);
    const concerned = this.#options.ledger.listPool(pool).length > 0;
    if (scheduler !== undefined && concerned) {
      this.reportPool(pool, scheduler);
    }
  }

  /** Repeats what a VM may have missed while its link was down. */
  followLink(vm: VmId): void {
    for (
      const { pool, scheduler } of this.#options.ledger.listScheduledPools()
    ) {
      if (scheduler === vm) {
        this.reportPool(pool, vm);
      }
    }
  }

  /** Looks after waiting requests until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const costs = new CostReporter(this.#options);
    await Promise.all([this.#runSweeps(signal), costs.run(signal)]);
  }

  async #runSweeps(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#options.clock.sleep(SWEEP_MILLISECONDS, signal);
      this.#sweepWaiting();
    }
  }

  /** Asks a scheduler for a place; the sweep tries again when there is none. */
  #route(entry: LedgerEntry): void {
    const { directory, sender, clock, self } = this.#options;
    const pool = directory.choosePool(entry.call.service.name);
    const scheduler = pool === undefined
      ? undefined
      : directory.findScheduler(pool);
    entry.pool = pool;
    entry.scheduler = scheduler;
    if (pool === undefined || scheduler === undefined) {
      return;
    }
    const now = clock.now();
    entry.reportedAt = now;
    sender.send(scheduler, {
      kind: MessageKind.Enqueue,
      pool,
      entry: entry.describeWaiting(self, now),
    });
    this.#log(entry, "was queued", { pool: formatPool(pool), scheduler });
  }

  async #expire(
    entry: LedgerEntry,
    signal: AbortSignal,
  ): Promise<RefuseMessage> {
    const wait = entry.call.deadlineAt - this.#options.clock.now();
    await this.#options.clock.sleep(Math.max(0, wait), signal);
    return {
      kind: MessageKind.Refuse,
      pool: entry.pool ?? { zone: "", service: entry.call.service.name },
      request: entry.call.request,
      reason: RefusalReason.WaitedTooLong,
      retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
    };
  }

  #leaveQueue(entry: LedgerEntry): void {
    const { pool, scheduler } = entry;
    entry.phase = CallPhase.Idle;
    entry.pool = undefined;
    entry.scheduler = undefined;
    if (pool !== undefined && scheduler !== undefined) {
      this.#cancel(entry, { pool, scheduler });
    }
  }

  #cancel(
    entry: LedgerEntry,
    place: { pool: PoolId; scheduler: VmId },
  ): void {
    this.#options.sender.send(place.scheduler, {
      kind: MessageKind.CancelEntry,
      pool: place.pool,
      request: entry.call.request,
    });
  }

  #handleGrant(from: VmId, grant: GrantMessage): void {
    const { ledger, directory, sender } = this.#options;
    const entry = ledger.find(grant.request);
    if (entry?.current?.attempt === grant.attempt) {
      // The scheduler repeats a grant that it believes lost; it is in use.
      return;
    }
    const usable = entry !== undefined &&
      entry.phase === CallPhase.Waiting &&
      !directory.isSuperseded(grant.pool, grant.term);
    if (!usable) {
      sender.send(from, {
        kind: MessageKind.DeclineGrant,
        pool: grant.pool,
        request: grant.request,
        attempt: grant.attempt,
      });
      return;
    }
    this.#leaveOtherQueue(entry, grant.pool);
    entry.phase = CallPhase.Running;
    entry.pool = grant.pool;
    entry.scheduler = from;
    entry.current = {
      attempt: grant.attempt,
      endpoint: grant.endpoint,
      pool: grant.pool,
      cost: 0,
      reportedCost: grant.chargedCost,
      reportedAt: this.#options.clock.now(),
      bootId: "",
      isBootReported: false,
    };
    this.#log(entry, "was granted an endpoint", {
      attempt: grant.attempt,
      endpoint: grant.endpoint,
      zone: grant.pool.zone,
      reason: grant.reason,
      term: grant.term.number,
    });
    entry.grant.resolve(grant);
  }

  #leaveOtherQueue(entry: LedgerEntry, granted: PoolId): void {
    const { pool, scheduler } = entry;
    const elsewhere = pool !== undefined && scheduler !== undefined &&
      formatPool(pool) !== formatPool(granted);
    if (elsewhere) {
      this.#cancel(entry, { pool, scheduler });
    }
  }

  #handleRefusal(refusal: RefuseMessage): void {
    const entry = this.#options.ledger.find(refusal.request);
    if (entry?.phase !== CallPhase.Waiting) {
      return;
    }
    const fromOtherPool = entry.pool !== undefined &&
      formatPool(entry.pool) !== formatPool(refusal.pool);
    if (fromOtherPool) {
      return;
    }
    entry.scheduler = undefined;
    entry.grant.resolve(refusal);
  }

  #handleRequestWork(from: VmId, message: RequestWorkMessage): void {
    if (!this.#options.directory.isSuperseded(message.pool, message.term)) {
      this.reportPool(message.pool, from);
    }
  }

  #handleNotScheduler(from: VmId, message: NotSchedulerMessage): void {
    const entry = this.#options.ledger.find(message.request);
    if (entry?.phase === CallPhase.Waiting && entry.scheduler === from) {
      // The sweep asks again, after the news of the right VM had time to come.
      entry.scheduler = undefined;
    }
  }

  #handleMoved(message: EntryMovedMessage): void {
    const entry = this.#options.ledger.find(message.request);
    if (entry?.phase === CallPhase.Waiting) {
      entry.pool = message.to;
      entry.scheduler = message.scheduler;
      entry.reportedAt = this.#options.clock.now();
      this.#log(entry, "was moved to another zone", {
        zone: message.to.zone,
        scheduler: message.scheduler,
      });
    }
  }

  #sweepWaiting(): void {
    const { ledger, directory, clock } = this.#options;
    const now = clock.now();
    const stale = new Map<string, { pool: PoolId; scheduler: VmId }>();
    for (const entry of ledger.listPhase(CallPhase.Waiting)) {
      const { pool, scheduler } = entry;
      const lost = pool === undefined || scheduler === undefined ||
        !directory.isReachable(scheduler);
      if (lost) {
        this.#route(entry);
        continue;
      }
      if (now - entry.reportedAt >= REPORT_AGAIN_MILLISECONDS) {
        stale.set(`${formatPool(pool)}@${scheduler}`, { pool, scheduler });
      }
    }
    for (const { pool, scheduler } of stale.values()) {
      this.reportPool(pool, scheduler);
    }
  }

  #log(
    entry: LedgerEntry,
    sentence: string,
    fields: Record<string, string | number>,
  ): void {
    this.#options.logger.info(`request ${sentence}`, {
      request: entry.call.request,
      organisation: entry.call.organisation.name,
      service: entry.call.service.name,
      ...fields,
    });
  }
}

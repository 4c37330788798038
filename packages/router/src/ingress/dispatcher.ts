/** Queues the requests of this ingress with schedulers and handles grants. */

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
import type { ActiveCallRegistry } from "./active_call_registry.ts";
import { CostReporter } from "./cost_reporter.ts";
import { type CallEntry, CallPhase, type GrantDecision } from "./call_entry.ts";
import type { SchedulerDirectory } from "./scheduler_directory.ts";

const SWEEP_INTERVAL_MILLISECONDS = 250;
const WORK_REPORT_INTERVAL_MILLISECONDS = 10_000;
const RETRY_AFTER_MILLISECONDS = 1_000;

/** Dependencies of the dispatcher. */
export interface DispatcherOptions {
  self: VmId;
  callRegistry: ActiveCallRegistry;
  directory: SchedulerDirectory;
  sender: MessageSender;
  clock: Clock;
  logger: Logger;
}

/** Result of a finished attempt, as reported to its scheduler. */
export interface AttemptReport {
  outcome: AttemptOutcome;
  cost: number;
  firstByteMilliseconds: number;
  durationMilliseconds: number;
  bootId: string;
}

/** Exchanges messages with schedulers on behalf of the registered requests. */
export class Dispatcher {
  readonly #options: DispatcherOptions;

  constructor(options: DispatcherOptions) {
    this.#options = options;
  }

  /**
   * Queues a request and waits until it is granted an endpoint or refused. A
   * granted request is already in the running phase when this returns. Never
   * throws; when the signal aborts, the queue entry is cancelled.
   */
  async waitForGrant(
    entry: CallEntry,
    signal: AbortSignal,
  ): Promise<GrantDecision> {
    entry.phase = CallPhase.Waiting;
    entry.grant = new Deferred<GrantDecision>();
    entry.pool = undefined;
    entry.scheduler = undefined;
    this.#enqueue(entry);
    const deadlineAbort = new ChildAbort(signal);
    const expired = this.#waitForDeadline(entry, deadlineAbort.signal);
    const firstDecision = await Promise.race([entry.grant.promise, expired]);
    deadlineAbort.abort();
    // A grant may have been accepted just as the deadline expired; it takes
    // precedence over the expiry.
    const decision = entry.current === undefined
      ? firstDecision
      : await entry.grant.promise;
    if (decision.kind === MessageKind.Refuse) {
      this.#leaveQueue(entry);
    }
    return decision;
  }

  /**
   * Reports the end of the current attempt; the scheduler then frees its slot.
   */
  finish(entry: CallEntry, report: AttemptReport): void {
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

  /** Handles a message from a scheduler. */
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
        this.#handleEntryMoved(message);
    }
  }

  /**
   * Sends a scheduler the full state of a pool at this ingress: all waiting
   * requests and all running attempts.
   */
  reportPool(pool: PoolId, scheduler: VmId): void {
    const now = this.#options.clock.now();
    const entries = this.#options.callRegistry.listPool(pool);
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
        entry.buildQueueEntry(this.#options.self, now)
      ),
      running: entries.flatMap((entry) => entry.buildRunningAttempt() ?? []),
    });
  }

  /**
   * Handles a change of a pool's term: reports the waiting and running requests
   * of the pool to its new scheduler.
   */
  handleTermChange(pool: PoolId): void {
    const scheduler = this.#options.directory.findScheduler(pool);
    const hasEntries = this.#options.callRegistry.listPool(pool).length > 0;
    if (scheduler !== undefined && hasEntries) {
      this.reportPool(pool, scheduler);
    }
  }

  /**
   * Handles a re-established link: reports again to the VM all pools that it
   * schedules, since messages may have been lost while the link was down.
   */
  handleLinkRestored(vm: VmId): void {
    for (
      const { pool, scheduler } of this.#options.callRegistry
        .listScheduledPools()
    ) {
      if (scheduler === vm) {
        this.reportPool(pool, vm);
      }
    }
  }

  /**
   * Periodically re-queues or re-reports waiting requests and reports the costs
   * of running attempts, until the signal aborts.
   */
  async run(signal: AbortSignal): Promise<void> {
    const costs = new CostReporter(this.#options);
    await Promise.all([this.#runSweeps(signal), costs.run(signal)]);
  }

  async #runSweeps(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#options.clock.sleep(SWEEP_INTERVAL_MILLISECONDS, signal);
      this.#sweepWaiting();
    }
  }

  /**
   * Queues a request with the scheduler of its pool. Without a reachable pool
   * or a known scheduler nothing is sent, and the next sweep tries again.
   */
  #enqueue(entry: CallEntry): void {
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
      entry: entry.buildQueueEntry(self, now),
    });
    this.#log(entry, "was queued", { pool: formatPool(pool), scheduler });
  }

  /** Waits until the request's deadline, then returns the refusal for it. */
  async #waitForDeadline(
    entry: CallEntry,
    signal: AbortSignal,
  ): Promise<RefuseMessage> {
    const remainingMilliseconds = entry.call.deadlineAt -
      this.#options.clock.now();
    await this.#options.clock.sleep(Math.max(0, remainingMilliseconds), signal);
    return {
      kind: MessageKind.Refuse,
      pool: entry.pool ?? { zone: "", service: entry.call.service.name },
      request: entry.call.request,
      reason: RefusalReason.WaitedTooLong,
      retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
    };
  }

  /**
   * Returns a request to the idle phase and cancels its queue entry, if any.
   */
  #leaveQueue(entry: CallEntry): void {
    const { pool, scheduler } = entry;
    entry.phase = CallPhase.Idle;
    entry.pool = undefined;
    entry.scheduler = undefined;
    if (pool !== undefined && scheduler !== undefined) {
      this.#sendCancel(entry, { pool, scheduler });
    }
  }

  #sendCancel(
    entry: CallEntry,
    queue: { pool: PoolId; scheduler: VmId },
  ): void {
    this.#options.sender.send(queue.scheduler, {
      kind: MessageKind.CancelEntry,
      pool: queue.pool,
      request: entry.call.request,
    });
  }

  #handleGrant(from: VmId, grant: GrantMessage): void {
    const { callRegistry, directory, sender } = this.#options;
    const entry = callRegistry.find(grant.request);
    if (entry?.current?.attempt === grant.attempt) {
      // A scheduler resends a grant that it assumes was lost; this one arrived
      // and is in use, so it must not be declined.
      return;
    }
    const isUsable = entry !== undefined &&
      entry.phase === CallPhase.Waiting &&
      !directory.isSuperseded(grant.pool, grant.term);
    if (!isUsable) {
      sender.send(from, {
        kind: MessageKind.DeclineGrant,
        pool: grant.pool,
        request: grant.request,
        attempt: grant.attempt,
      });
      return;
    }
    this.#leaveOtherPool(entry, grant.pool);
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
      isBootIdReported: false,
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

  /** Cancels the queue entry when the grant came from another pool. */
  #leaveOtherPool(entry: CallEntry, granted: PoolId): void {
    const { pool, scheduler } = entry;
    const isOtherPool = pool !== undefined && scheduler !== undefined &&
      formatPool(pool) !== formatPool(granted);
    if (isOtherPool) {
      this.#sendCancel(entry, { pool, scheduler });
    }
  }

  #handleRefusal(refusal: RefuseMessage): void {
    const entry = this.#options.callRegistry.find(refusal.request);
    if (entry?.phase !== CallPhase.Waiting) {
      return;
    }
    const isFromOtherPool = entry.pool !== undefined &&
      formatPool(entry.pool) !== formatPool(refusal.pool);
    if (isFromOtherPool) {
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
    const entry = this.#options.callRegistry.find(message.request);
    if (entry?.phase === CallPhase.Waiting && entry.scheduler === from) {
      // The next sweep queues the request again. Until then, the update that
      // names the current scheduler has had time to arrive.
      entry.scheduler = undefined;
    }
  }

  #handleEntryMoved(message: EntryMovedMessage): void {
    const entry = this.#options.callRegistry.find(message.request);
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

  /**
   * Queues waiting requests again that have no reachable scheduler, and reports
   * pools again whose last report is older than the work report interval.
   */
  #sweepWaiting(): void {
    const { callRegistry, directory, clock } = this.#options;
    const now = clock.now();
    const dueReports = new Map<string, { pool: PoolId; scheduler: VmId }>();
    for (const entry of callRegistry.listPhase(CallPhase.Waiting)) {
      const { pool, scheduler } = entry;
      const isUnscheduled = pool === undefined || scheduler === undefined ||
        !directory.isReachable(scheduler);
      if (isUnscheduled) {
        this.#enqueue(entry);
        continue;
      }
      if (now - entry.reportedAt >= WORK_REPORT_INTERVAL_MILLISECONDS) {
        dueReports.set(`${formatPool(pool)}@${scheduler}`, { pool, scheduler });
      }
    }
    for (const { pool, scheduler } of dueReports.values()) {
      this.reportPool(pool, scheduler);
    }
  }

  #log(
    entry: CallEntry,
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

/** A simulated ingress that queues requests and runs granted attempts. */

import {
  AttemptOutcome,
  compareTerms,
  formatPool,
  type GrantMessage,
  type IngressMessage,
  MessageKind,
  type PoolId,
  type QueueEntry,
  type RefusalReason,
  type SchedulerMessage,
  type Term,
  type VmId,
} from "@rattanvane/protocol";
import type { FakeEndpoint, FakeJob } from "./fake_endpoint.ts";

/** A caller's request and its actual cost. */
export interface FakeRequest {
  entry: QueueEntry;
  cost: number;
}

/** The connections of a fake ingress to the simulation. */
export interface FakeIngressOptions {
  vm: VmId;
  pool: PoolId;
  send: (to: VmId, message: SchedulerMessage) => void;
  findEndpoint: (name: string) => FakeEndpoint;
}

interface RunningRequest {
  request: FakeRequest;
  grant: GrantMessage;
  scheduler: VmId;
  job: FakeJob;
}

/** Implements the router's ingress protocol without HTTP. */
export class FakeIngress {
  readonly options: FakeIngressOptions;
  readonly waiting = new Map<string, FakeRequest>();
  readonly running = new Map<string, RunningRequest>();
  readonly refusals: { request: string; reason: RefusalReason }[] = [];
  readonly completed = new Set<string>();
  /** The schedulers in other zones that requests were moved to. */
  readonly movedTo = new Map<string, VmId>();
  /** How often a request completed that had completed before. */
  duplicateRuns = 0;
  grants: GrantMessage[] = [];
  isAlive = true;
  scheduler: VmId | undefined;
  readonly #terms = new Map<string, Term>();

  constructor(options: FakeIngressOptions) {
    this.options = options;
  }

  /** Adds a request and enqueues it at the scheduler. */
  add(request: FakeRequest): void {
    this.waiting.set(request.entry.request, request);
    this.#enqueue(request);
  }

  /** Cancels a waiting request. */
  cancel(request: string): void {
    this.waiting.delete(request);
    this.#sendToScheduler({
      kind: MessageKind.CancelEntry,
      pool: this.options.pool,
      request,
    });
  }

  /** Reports the cost of running attempts so far. */
  sendProgress(): void {
    for (const { grant, scheduler, job } of this.running.values()) {
      this.options.send(scheduler, {
        kind: MessageKind.Progress,
        pool: grant.pool,
        attempts: [{
          attempt: grant.attempt,
          cost: job.done,
          bootId: this.options.findEndpoint(grant.endpoint).bootId,
        }],
      });
    }
  }

  /** Enqueues requests again that were moved to a scheduler that died. */
  handleDeadScheduler(vm: VmId): void {
    for (const [request, scheduler] of this.movedTo) {
      const waiting = this.waiting.get(request);
      if (scheduler === vm && waiting !== undefined) {
        this.movedTo.delete(request);
        this.#enqueue(waiting);
      }
    }
  }

  /** Handles one message of a scheduler. */
  handle(from: VmId, message: IngressMessage): void {
    switch (message.kind) {
      case MessageKind.Grant:
        return this.#handleGrant(from, message);
      case MessageKind.Refuse:
        this.waiting.delete(message.request);
        this.refusals.push(message);
        return;
      case MessageKind.RequestWork:
        this.scheduler = from;
        this.#terms.set(formatPool(message.pool), message.term);
        return this.sendWorkReport();
      case MessageKind.EntryMoved:
        this.movedTo.set(message.request, message.scheduler);
        return;
      case MessageKind.NotScheduler:
        return;
    }
  }

  /** Reports all waiting and running requests of the pool to its scheduler. */
  sendWorkReport(): void {
    const { pool } = this.options;
    const waiting = [...this.waiting.values()].filter(({ entry }) =>
      !this.movedTo.has(entry.request)
    );
    const running = [...this.running.values()].filter(({ grant }) =>
      formatPool(grant.pool) === formatPool(pool)
    );
    this.#sendToScheduler({
      kind: MessageKind.WorkReport,
      pool,
      waiting: waiting.map(({ entry }) => entry),
      running: running.map(({ request, grant, job }) => ({
        request: grant.request,
        attempt: grant.attempt,
        endpoint: grant.endpoint,
        organisation: request.entry.organisation,
        cost: job.done,
        fingerprint: request.entry.fingerprint,
      })),
    });
  }

  #handleGrant(from: VmId, grant: GrantMessage): void {
    if (this.running.has(grant.attempt)) {
      return;
    }
    const key = formatPool(grant.pool);
    const known = this.#terms.get(key);
    const isOutdated = known !== undefined &&
      compareTerms(grant.term, known) < 0;
    const request = this.waiting.get(grant.request);
    if (isOutdated || request === undefined) {
      this.options.send(from, {
        kind: MessageKind.DeclineGrant,
        pool: grant.pool,
        request: grant.request,
        attempt: grant.attempt,
      });
      return;
    }
    this.#terms.set(key, grant.term);
    this.grants.push(grant);
    this.#run(from, grant, request);
  }

  #run(scheduler: VmId, grant: GrantMessage, request: FakeRequest): void {
    this.waiting.delete(grant.request);
    const job: FakeJob = {
      attempt: grant.attempt,
      fingerprint: request.entry.fingerprint,
      organisation: request.entry.organisation,
      cost: request.cost,
      done: 0,
      end: (outcome) => this.#finish(grant.attempt, outcome),
    };
    this.running.set(grant.attempt, { request, grant, scheduler, job });
    this.options.findEndpoint(grant.endpoint).start(job);
  }

  #finish(attempt: string, outcome: AttemptOutcome): void {
    const running = this.running.get(attempt);
    if (running === undefined || !this.isAlive) {
      return;
    }
    this.running.delete(attempt);
    const { grant, job, request } = running;
    const endpoint = this.options.findEndpoint(grant.endpoint);
    const isOwnPool = formatPool(grant.pool) === formatPool(this.options.pool);
    const scheduler = isOwnPool ? this.scheduler : running.scheduler;
    const isCompleted = outcome === AttemptOutcome.Completed;
    this.options.send(scheduler ?? running.scheduler, {
      kind: MessageKind.Finish,
      pool: grant.pool,
      request: grant.request,
      attempt,
      endpoint: grant.endpoint,
      outcome,
      cost: job.done,
      firstByteMilliseconds: isCompleted ? 20 : 0,
      durationMilliseconds: job.done,
      bootId: isCompleted ? endpoint.bootId : "",
    });
    if (isCompleted) {
      this.duplicateRuns += this.completed.has(grant.request) ? 1 : 0;
      this.completed.add(grant.request);
      return;
    }
    const { entry } = request;
    this.add({
      ...request,
      entry: {
        ...entry,
        attemptsMade: entry.attemptsMade + 1,
        avoid: [...entry.avoid, grant.endpoint],
      },
    });
  }

  #enqueue({ entry }: FakeRequest): void {
    this.#sendToScheduler({
      kind: MessageKind.Enqueue,
      pool: this.options.pool,
      entry,
    });
  }

  #sendToScheduler(message: SchedulerMessage): void {
    if (this.scheduler !== undefined) {
      this.options.send(this.scheduler, message);
    }
  }
}

/** Rebuilds and corrects a pool's state from the work reports of ingresses. */

import {
  MessageKind,
  type QueueEntry,
  type RunningAttempt,
  type VmId,
  type WorkReportMessage,
} from "@rattanvane/protocol";
import type { AttemptLifecycle } from "./attempt_lifecycle.ts";
import type { RunningGrant } from "./attempt_table.ts";
import type { PoolState } from "./pool_state.ts";

/** Requests reports after a start or a suspected restart, and merges them. */
export class WorkReports {
  readonly #state: PoolState;
  readonly #lifecycle: AttemptLifecycle;
  /** Ingresses whose report is still missing after the start. */
  readonly #missingReports = new Set<VmId>();
  /** Ingresses that may have restarted, with the time of the last request. */
  readonly #unverified = new Map<VmId, number>();
  readonly #startedAt: number;
  #lastRequestAt = -Infinity;
  #isRebuilding = true;

  constructor(state: PoolState, ends: AttemptLifecycle) {
    this.#state = state;
    this.#lifecycle = ends;
    this.#startedAt = state.now;
  }

  /** Whether work that is not reported yet may be running. */
  get isRebuilding(): boolean {
    return this.#isRebuilding;
  }

  /** Stops waiting for removed ingresses; while rebuilding, adds new ones. */
  updateIngresses(ingresses: readonly VmId[], former: ReadonlySet<VmId>): void {
    const live = new Set(ingresses);
    for (const vm of [...this.#missingReports, ...this.#unverified.keys()]) {
      if (!live.has(vm)) {
        this.#missingReports.delete(vm);
        this.#unverified.delete(vm);
      }
    }
    if (!this.#isRebuilding) {
      return;
    }
    for (const vm of ingresses) {
      if (!former.has(vm)) {
        this.#missingReports.add(vm);
        this.#lastRequestAt = -Infinity;
      }
    }
    this.#stopIfComplete();
  }

  /**
   * Requests a work report from an ingress that may have restarted. A higher
   * incarnation does not prove a restart: a VM that was declared dead during a
   * network partition refutes that with a higher incarnation too, and still has
   * all its work.
   */
  checkIngress(vm: VmId): void {
    if (this.#state.ingresses.has(vm)) {
      this.#requestVerification(vm);
    }
  }

  /** Requests missing reports again; ends the rebuild at its time limit. */
  runStep(): void {
    this.#retryVerifications();
    if (!this.#isRebuilding) {
      return;
    }
    const { settings } = this.#state.options;
    const { now } = this.#state;
    if (now - this.#startedAt >= settings.rebuildMilliseconds) {
      this.#stopRebuilding();
      return;
    }
    if (now - this.#lastRequestAt >= settings.workRequestIntervalMilliseconds) {
      this.#lastRequestAt = now;
      this.#sendRequests();
    }
  }

  /** Merges a report; merging the same report again has no effect. */
  merge(from: VmId, message: WorkReportMessage): void {
    this.#removeUnreported(from, message);
    for (const running of message.running) {
      this.adopt(from, running);
    }
    for (const entry of message.waiting) {
      this.#addWaiting(entry);
    }
    this.#unverified.delete(from);
    this.#missingReports.delete(from);
    this.#stopIfComplete();
  }

  #retryVerifications(): void {
    const { workRequestIntervalMilliseconds } = this.#state.options.settings;
    for (const [vm, requestedAt] of this.#unverified) {
      if (this.#state.now - requestedAt >= workRequestIntervalMilliseconds) {
        this.#requestVerification(vm);
      }
    }
  }

  #requestVerification(vm: VmId): void {
    this.#unverified.set(vm, this.#state.now);
    this.#sendRequest(vm);
  }

  #stopIfComplete(): void {
    const hasIngresses = this.#state.ingresses.size > 0;
    if (this.#isRebuilding && hasIngresses && this.#missingReports.size === 0) {
      this.#stopRebuilding();
    }
  }

  #sendRequests(): void {
    for (const vm of this.#missingReports) {
      this.#sendRequest(vm);
    }
  }

  #sendRequest(vm: VmId): void {
    const { pool, term, sender } = this.#state.options;
    sender.send(vm, { kind: MessageKind.RequestWork, pool, term });
  }

  #stopRebuilding(): void {
    this.#isRebuilding = false;
    this.#state.endpoints.stopRebuilding();
    this.#state.options.logger.info("rebuilt the pool's state", {
      service: this.#state.options.pool.service,
      zone: this.#state.options.pool.zone,
      waiting: this.#state.queue.size,
      running: this.#state.attempts.size,
      missingReports: this.#missingReports.size,
    });
  }

  /** Adds a running attempt that a previous scheduler granted. */
  adopt(ingress: VmId, running: RunningAttempt): void {
    const state = this.#state;
    const known = state.attempts.find(running.attempt);
    if (known !== undefined) {
      known.lastReportAt = state.now;
      known.reportedCost = running.cost;
      return;
    }
    state.queue.remove(running.request);
    const estimate = state.estimate(running.organisation, 0);
    const cost = Math.max(estimate, running.cost);
    const { fair } = state.queue;
    const charge = state.wasHandedOver
      ? fair.restoreCharge(running.organisation, cost)
      : fair.charge(running.organisation, cost);
    state.endpoints.find(running.endpoint)?.limit.startAttempt(running.attempt);
    state.attempts.add({
      attempt: running.attempt,
      request: running.request,
      ingress,
      endpoint: running.endpoint,
      fingerprint: running.fingerprint,
      charge,
      grantedAt: state.now,
      attemptsMade: 0,
      message: undefined,
      lastReportAt: state.now,
      reportedCost: running.cost,
      waiting: undefined,
    });
  }

  /** Queues a request, or repeats its grant if that was lost. */
  #addWaiting(entry: QueueEntry): void {
    const grant = this.#state.attempts.findByRequest(entry.request);
    if (grant !== undefined && this.#lifecycle.resendGrant(grant)) {
      return;
    }
    this.#state.queue.add(entry, { now: this.#state.now });
  }

  /**
   * Drops attempts and entries that the ingress no longer has, except recent
   * grants, which may still be in transit, and moved entries.
   */
  #removeUnreported(from: VmId, message: WorkReportMessage): void {
    const running = new Set(message.running.map((one) => one.attempt));
    const waiting = new Set(message.waiting.map((entry) => entry.request));
    const { grantTransitMilliseconds } = this.#state.options.settings;
    for (const grant of this.#state.attempts.listByIngress(from)) {
      const isKnown = running.has(grant.attempt) || waiting.has(grant.request);
      const age = this.#state.now - grant.grantedAt;
      if (!isKnown && age >= grantTransitMilliseconds) {
        this.#releaseOrOrphan(from, grant);
      }
    }
    for (const entry of this.#state.queue.listByIngress(from)) {
      const isKnown = waiting.has(entry.request);
      if (!isKnown && entry.movedFrom === undefined) {
        this.#state.queue.remove(entry.request);
      }
    }
  }

  /**
   * Orphans an attempt if its ingress may have restarted, since the attempt may
   * still run at the endpoint; releases it otherwise.
   */
  #releaseOrOrphan(from: VmId, grant: RunningGrant): void {
    if (this.#unverified.has(from)) {
      this.#lifecycle.orphan(grant);
      return;
    }
    this.#lifecycle.release(grant);
  }
}

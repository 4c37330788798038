/** Rebuilds and corrects a pool's state from what its ingresses report. */

import {
  MessageKind,
  type QueueEntry,
  type RunningAttempt,
  type VmId,
  type WorkReportMessage,
} from "@rattanvane/protocol";
import type { AttemptEnds } from "./attempt_ends.ts";
import type { RunningGrant } from "./attempt_table.ts";
import type { PoolState } from "./pool_state.ts";

/** Asks the ingresses for their work after a start, and merges it. */
export class WorkReports {
  readonly #state: PoolState;
  readonly #ends: AttemptEnds;
  readonly #missing = new Set<VmId>();
  /** Ingresses that may have restarted, and when each was last asked. */
  readonly #doubtful = new Map<VmId, number>();
  readonly #startedAt: number;
  #askedAt = -Infinity;
  #isRebuilding = true;

  constructor(state: PoolState, ends: AttemptEnds) {
    this.#state = state;
    this.#ends = ends;
    this.#startedAt = state.now;
  }

  /** Whether work may be running that is not known of yet. */
  get isRebuilding(): boolean {
    return this.#isRebuilding;
  }

  /** Waits for the reports of these ingresses, and no others. */
  updateIngresses(ingresses: readonly VmId[], former: ReadonlySet<VmId>): void {
    const live = new Set(ingresses);
    for (const vm of [...this.#missing, ...this.#doubtful.keys()]) {
      if (!live.has(vm)) {
        this.#missing.delete(vm);
        this.#doubtful.delete(vm);
      }
    }
    if (!this.#isRebuilding) {
      return;
    }
    for (const vm of ingresses) {
      if (!former.has(vm)) {
        this.#missing.add(vm);
        this.#askedAt = -Infinity;
      }
    }
    this.#stopWhenComplete();
  }

  /**
   * Asks an ingress that may have restarted what it still has. A higher
   * incarnation does not tell: VMs that were held dead across a cut refute it
   * with one, and still have all their work.
   */
  checkIngress(vm: VmId): void {
    if (this.#state.ingresses.has(vm)) {
      this.#askDoubtful(vm);
    }
  }

  /** Asks again where a report is missing; ends the rebuild in time. */
  runStep(): void {
    this.#askDoubtfulAgain();
    if (!this.#isRebuilding) {
      return;
    }
    const { settings } = this.#state.options;
    const { now } = this.#state;
    if (now - this.#startedAt >= settings.rebuildMilliseconds) {
      this.#stopRebuilding();
      return;
    }
    if (now - this.#askedAt >= settings.requestWorkMilliseconds) {
      this.#askedAt = now;
      this.#sendRequests();
    }
  }

  /** Merges a report; the same report again changes nothing. */
  merge(from: VmId, message: WorkReportMessage): void {
    this.#releaseForgotten(from, message);
    for (const running of message.running) {
      this.adopt(from, running);
    }
    for (const entry of message.waiting) {
      this.#addWaiting(entry);
    }
    this.#doubtful.delete(from);
    this.#missing.delete(from);
    this.#stopWhenComplete();
  }

  #askDoubtfulAgain(): void {
    const { requestWorkMilliseconds } = this.#state.options.settings;
    for (const [vm, askedAt] of this.#doubtful) {
      if (this.#state.now - askedAt >= requestWorkMilliseconds) {
        this.#askDoubtful(vm);
      }
    }
  }

  #askDoubtful(vm: VmId): void {
    this.#doubtful.set(vm, this.#state.now);
    this.#sendRequest(vm);
  }

  #stopWhenComplete(): void {
    const hasPeers = this.#state.ingresses.size > 0;
    if (this.#isRebuilding && hasPeers && this.#missing.size === 0) {
      this.#stopRebuilding();
    }
  }

  #sendRequests(): void {
    for (const vm of this.#missing) {
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
      missingReports: this.#missing.size,
    });
  }

  /** Takes over an attempt that a former scheduler granted. */
  adopt(ingress: VmId, running: RunningAttempt): void {
    const state = this.#state;
    const known = state.attempts.find(running.attempt);
    if (known !== undefined) {
      known.lastNewsAt = state.now;
      known.reportedCost = running.cost;
      return;
    }
    state.queue.remove(running.request);
    const estimate = state.estimate(running.organisation, 0);
    const cost = Math.max(estimate, running.cost);
    const { fair } = state.queue;
    const charge = state.wasHandedOver
      ? fair.adoptCharge(running.organisation, cost)
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
      lastNewsAt: state.now,
      reportedCost: running.cost,
      waiting: undefined,
    });
  }

  /** Queues a request again, or repeats the grant that was lost. */
  #addWaiting(entry: QueueEntry): void {
    const grant = this.#state.attempts.findByRequest(entry.request);
    if (grant !== undefined && this.#ends.repeatGrant(grant)) {
      return;
    }
    this.#state.queue.add(entry, { now: this.#state.now });
  }

  /** Drops what the ingress no longer has; grants may still be on the way. */
  #releaseForgotten(from: VmId, message: WorkReportMessage): void {
    const running = new Set(message.running.map((one) => one.attempt));
    const waiting = new Set(message.waiting.map((entry) => entry.request));
    const { grantSettleMilliseconds } = this.#state.options.settings;
    for (const grant of this.#state.attempts.listOfIngress(from)) {
      const isKnown = running.has(grant.attempt) || waiting.has(grant.request);
      const age = this.#state.now - grant.grantedAt;
      if (!isKnown && age >= grantSettleMilliseconds) {
        this.#drop(from, grant);
      }
    }
    for (const entry of this.#state.queue.listOfIngress(from)) {
      const isKnown = waiting.has(entry.request);
      if (!isKnown && entry.movedFrom === undefined) {
        this.#state.queue.remove(entry.request);
      }
    }
  }

  /** What a former life of an ingress left may still run at the endpoint. */
  #drop(from: VmId, grant: RunningGrant): void {
    if (this.#doubtful.has(from)) {
      this.#ends.orphan(grant);
      return;
    }
    this.#ends.release(grant);
  }
}

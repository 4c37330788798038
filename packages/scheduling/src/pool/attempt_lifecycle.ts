/** Applies progress and completion of attempts, and releases their slots. */

import { EndpointEvent } from "@rattanvane/limits";
import {
  type AttemptCost,
  AttemptOutcome,
  type EndpointId,
  type FinishMessage,
  type ProgressMessage,
  type VmId,
} from "@rattanvane/protocol";
import type { RunningGrant } from "./attempt_table.ts";
import type { PoolState } from "./pool_state.ts";
import type { Refuser } from "./refuser.ts";

/** Outcomes in which the endpoint did no work; their cost is not charged. */
const UNSERVED_OUTCOMES = new Set([
  AttemptOutcome.NotSent,
  AttemptOutcome.EndpointRefused,
]);

/** Applies the ingresses' reports on attempts to the state of the pool. */
export class AttemptLifecycle {
  readonly #state: PoolState;
  readonly #refuser: Refuser;

  constructor(state: PoolState, refuser: Refuser) {
    this.#state = state;
    this.#refuser = refuser;
  }

  /** Charges running attempts for the cost that exceeds their estimates. */
  applyProgress(message: ProgressMessage): void {
    for (const progress of message.attempts) {
      this.#recordProgress(progress);
    }
  }

  #recordProgress(progress: AttemptCost): void {
    const grant = this.#state.attempts.find(progress.attempt);
    if (grant === undefined) {
      return;
    }
    grant.lastReportAt = this.#state.now;
    grant.reportedCost = progress.cost;
    const cost = Math.max(grant.charge.amount, progress.cost);
    this.#state.queue.fair.updateCharge(grant.charge, cost);
    const endpoint = this.#state.endpoints.find(grant.endpoint);
    const event = endpoint?.limit.recordProgress(progress.bootId);
    this.applyEndpointEvent(grant.endpoint, event ?? EndpointEvent.None);
  }

  /** Settles the charge of an attempt that has ended and frees its slot. */
  applyFinish(message: FinishMessage): void {
    const grant = this.#state.attempts.remove(message.attempt);
    if (grant === undefined) {
      return;
    }
    this.#refuser.recordFinish();
    this.#settleCharge(grant, message);
    this.#recordCrashEvidence(grant, message);
    const event = this.#finishAtEndpoint(grant, message);
    this.applyEndpointEvent(grant.endpoint, event);
  }

  /**
   * Resends a grant that its ingress has not received; returns whether it did.
   * A grant sent by a previous scheduler cannot be resent, since its message is
   * unknown. One from before the endpoint's last restart must not be resent,
   * because the cold endpoint may lack the capacity for it. In both cases the
   * slot is released instead.
   */
  resendGrant(grant: RunningGrant): boolean {
    const resetAt = this.#state.endpoints.find(grant.endpoint)?.limit.resetAt;
    const isStale = resetAt === undefined || resetAt >= grant.grantedAt;
    if (grant.message === undefined || isStale) {
      this.release(grant);
      return false;
    }
    this.#state.options.sender.send(grant.ingress, grant.message);
    return true;
  }

  /** Releases the slot of an attempt that never started or no longer runs. */
  release(grant: RunningGrant): void {
    this.#state.attempts.remove(grant.attempt);
    this.#state.queue.fair.updateCharge(grant.charge, grant.reportedCost);
    this.#finishAtEndpoint(grant, {
      outcome: AttemptOutcome.Cancelled,
      firstByteMilliseconds: 0,
      bootId: "",
    });
  }

  /**
   * Stops tracking an attempt that no ingress reports on any more. Its slot
   * stays occupied until the endpoint's load reports show otherwise.
   */
  orphan(grant: RunningGrant): void {
    this.#state.attempts.remove(grant.attempt);
    const endpoint = this.#state.endpoints.find(grant.endpoint);
    endpoint?.limit.orphanAttempt(grant.attempt);
    if (endpoint?.exclusiveAttempt === grant.attempt) {
      endpoint.exclusiveAttempt = undefined;
    }
  }

  /** Orphans attempts without a report for longer than the silence timeout. */
  orphanTimedOut(): void {
    const { attemptSilenceMilliseconds } = this.#state.options.settings;
    for (const grant of this.#state.attempts.list()) {
      const elapsed = this.#state.now - grant.lastReportAt;
      if (elapsed >= attemptSilenceMilliseconds) {
        this.orphan(grant);
      }
    }
  }

  /**
   * Handles attempts that neither the ingress nor the endpoint reports, which
   * means that a message was lost, for example in a partition between zones.
   * Orphans the attempt and queues its request again, at most once: an ingress
   * that is still waiting uses the new grant, and one that is done declines it.
   */
  requeueUnreported(endpoint: EndpointId, count: number): void {
    if (count === 0) {
      return;
    }
    const { missingAttemptMilliseconds } = this.#state.options.settings;
    const latestReportAt = this.#state.now - missingAttemptMilliseconds;
    const unreported = this.#state.attempts.list().filter((grant) =>
      grant.endpoint === endpoint && grant.lastReportAt <= latestReportAt
    );
    unreported.sort((first, second) =>
      first.lastReportAt - second.lastReportAt
    );
    for (const grant of unreported.slice(0, count)) {
      this.orphan(grant);
      if (grant.waiting !== undefined && !grant.waiting.isRequeued) {
        this.#state.queue.requeue(grant.waiting);
      }
    }
  }

  /** Handles the restart of an endpoint; other events need no action. */
  applyEndpointEvent(endpoint: EndpointId, event: EndpointEvent): void {
    if (event !== EndpointEvent.Restarted) {
      return;
    }
    this.#state.evidence.recordRestart(endpoint, this.#state.now);
    this.#state.prefixes.remove(endpoint);
    this.#state.options.logger.warn("endpoint restarted or is down", {
      service: this.#state.options.pool.service,
      zone: this.#state.options.pool.zone,
      endpoint,
      limit: this.#state.endpoints.find(endpoint)?.limit.limit,
    });
  }

  /** Orphans all attempts of an ingress that died. */
  orphanIngress(ingress: VmId): void {
    for (const grant of this.#state.attempts.listByIngress(ingress)) {
      this.orphan(grant);
    }
  }

  #settleCharge(grant: RunningGrant, message: FinishMessage): void {
    const { estimator, queue, options } = this.#state;
    const isServed = !UNSERVED_OUTCOMES.has(message.outcome);
    const cost = isServed ? message.cost : 0;
    const isCostSample = message.outcome === AttemptOutcome.Completed ||
      cost > grant.charge.amount;
    queue.fair.updateCharge(grant.charge, cost);
    if (isCostSample) {
      estimator.recordCost(grant.charge.organisation, {
        service: options.pool.service,
        cost,
      });
    }
  }

  #recordCrashEvidence(grant: RunningGrant, message: FinishMessage): void {
    const { suspects } = this.#state.options;
    if (message.outcome === AttemptOutcome.Completed) {
      suspects.recordCompletion(grant.fingerprint);
    }
    if (message.outcome === AttemptOutcome.EndpointLost) {
      this.#state.evidence.recordLost({
        attempt: grant.attempt,
        endpoint: grant.endpoint,
        fingerprint: grant.fingerprint,
        startedAt: grant.grantedAt,
        lostAt: this.#state.now,
      });
    }
  }

  #finishAtEndpoint(
    grant: RunningGrant,
    end: Pick<FinishMessage, "outcome" | "firstByteMilliseconds" | "bootId">,
  ): EndpointEvent {
    const endpoint = this.#state.endpoints.find(grant.endpoint);
    if (endpoint === undefined) {
      return EndpointEvent.None;
    }
    if (endpoint.exclusiveAttempt === grant.attempt) {
      endpoint.exclusiveAttempt = undefined;
    }
    return endpoint.limit.finishAttempt(grant.attempt, end);
  }
}

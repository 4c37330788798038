/** Learns from running and ended attempts, and frees their slots. */

import { EndpointNews } from "@rattanvane/limits";
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

/** Outcomes after which an endpoint has not worked for the request. */
const UNSERVED = new Set([
  AttemptOutcome.NotSent,
  AttemptOutcome.EndpointRefused,
]);

/** Applies what ingresses report of attempts. */
export class AttemptEnds {
  readonly #state: PoolState;
  readonly #refuser: Refuser;

  constructor(state: PoolState, refuser: Refuser) {
    this.#state = state;
    this.#refuser = refuser;
  }

  /** Charges what an attempt has cost beyond its estimate. */
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
    grant.lastNewsAt = this.#state.now;
    grant.reportedCost = progress.cost;
    const cost = Math.max(grant.charge.amount, progress.cost);
    this.#state.queue.fair.updateCharge(grant.charge, cost);
    const endpoint = this.#state.endpoints.find(grant.endpoint);
    const news = endpoint?.limit.recordProgress(progress.bootId);
    this.applyNews(grant.endpoint, news ?? EndpointNews.Nothing);
  }

  /** Settles an attempt that has ended. */
  applyFinish(message: FinishMessage): void {
    const grant = this.#state.attempts.remove(message.attempt);
    if (grant === undefined) {
      return;
    }
    this.#refuser.recordFinish();
    this.#settleCharge(grant, message);
    this.#recordSuspicion(grant, message);
    const news = this.#finishAtEndpoint(grant, message);
    this.applyNews(grant.endpoint, news);
  }

  /**
   * Sends a grant again that its ingress does not know of. One that a former
   * scheduler sent cannot be repeated, and one from before the endpoint's start
   * must not be: the cold endpoint may not bear it. Its slot is given back.
   */
  repeatGrant(grant: RunningGrant): boolean {
    const resetAt = this.#state.endpoints.find(grant.endpoint)?.limit.resetAt;
    const isOutdated = resetAt === undefined || resetAt >= grant.grantedAt;
    if (grant.message === undefined || isOutdated) {
      this.release(grant);
      return false;
    }
    this.#state.options.sender.send(grant.ingress, grant.message);
    return true;
  }

  /** Gives back the slot of an attempt that does not run, or no longer. */
  release(grant: RunningGrant): void {
    this.#state.attempts.remove(grant.attempt);
    this.#state.queue.fair.updateCharge(grant.charge, grant.reportedCost);
    this.#finishAtEndpoint(grant, {
      outcome: AttemptOutcome.Cancelled,
      firstByteMilliseconds: 0,
      bootId: "",
    });
  }

  /** Lets an attempt that nobody answers for any more be found by reports. */
  orphan(grant: RunningGrant): void {
    this.#state.attempts.remove(grant.attempt);
    const endpoint = this.#state.endpoints.find(grant.endpoint);
    endpoint?.limit.orphanAttempt(grant.attempt);
    if (endpoint?.soleAttempt === grant.attempt) {
      endpoint.soleAttempt = undefined;
    }
  }

  /** Orphans attempts that have been silent for too long. */
  orphanSilent(): void {
    const { attemptSilenceMilliseconds } = this.#state.options.settings;
    for (const grant of this.#state.attempts.list()) {
      const silence = this.#state.now - grant.lastNewsAt;
      if (silence >= attemptSilenceMilliseconds) {
        this.orphan(grant);
      }
    }
  }

  /**
   * Handles attempts of which neither the ingress nor the endpoint speaks: a
   * message was lost, as in a cut between zones. The request gets a second turn:
   * an ingress that still waits uses the new grant, and one that is done declines
   * it. After that the attempt becomes an orphan.
   */
  settleAbsent(endpoint: EndpointId, count: number): void {
    if (count === 0) {
      return;
    }
    const { absentMilliseconds } = this.#state.options.settings;
    const silentSince = this.#state.now - absentMilliseconds;
    const silent = this.#state.attempts.list().filter((grant) =>
      grant.endpoint === endpoint && grant.lastNewsAt <= silentSince
    );
    silent.sort((first, second) => first.lastNewsAt - second.lastNewsAt);
    for (const grant of silent.slice(0, count)) {
      this.orphan(grant);
      if (grant.waiting !== undefined && !grant.waiting.isSecondTurn) {
        this.#state.queue.addAgain(grant.waiting);
      }
    }
  }

  /** Draws conclusions from an endpoint that has started anew. */
  applyNews(endpoint: EndpointId, news: EndpointNews): void {
    if (news !== EndpointNews.Restarted) {
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

  /** Orphans everything that a dead ingress had running. */
  orphanIngress(ingress: VmId): void {
    for (const grant of this.#state.attempts.listOfIngress(ingress)) {
      this.orphan(grant);
    }
  }

  #settleCharge(grant: RunningGrant, message: FinishMessage): void {
    const { estimator, queue, options } = this.#state;
    const isServed = !UNSERVED.has(message.outcome);
    const cost = isServed ? message.cost : 0;
    const isTelling = message.outcome === AttemptOutcome.Completed ||
      cost > grant.charge.amount;
    queue.fair.updateCharge(grant.charge, cost);
    if (isTelling) {
      estimator.recordCost(grant.charge.organisation, {
        service: options.pool.service,
        cost,
      });
    }
  }

  #recordSuspicion(grant: RunningGrant, message: FinishMessage): void {
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
  ): EndpointNews {
    const endpoint = this.#state.endpoints.find(grant.endpoint);
    if (endpoint === undefined) {
      return EndpointNews.Nothing;
    }
    if (endpoint.soleAttempt === grant.attempt) {
      endpoint.soleAttempt = undefined;
    }
    return endpoint.limit.finishAttempt(grant.attempt, end);
  }
}

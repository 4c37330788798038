/** The state that one VM keeps for an endpoint. */

import { type Clock, hashText } from "@rattanvane/base";
import type { EndpointUse, VmId } from "@rattanvane/protocol";
import type { EndpointRecord } from "../model/endpoint_record.ts";
import { ColdStartGuard } from "./cold_start_guard.ts";
import type { EndpointRateLimit } from "./endpoint_rate_limit.ts";
import { EndpointSpeed } from "./endpoint_speed.ts";
import type { PrefillWork } from "./prefill_model.ts";
import { PromptCacheMap } from "./prompt_cache_map.ts";

/** A peer's report expires after this time unless a newer one arrives. */
const PEER_REPORT_LIFETIME_MILLISECONDS = 1_000;
const FAILURE_SMOOTHING_FACTOR = 0.05;
const PACE_SMOOTHING_FACTOR = 0.08;
/** Prompts sent within this time still delay the endpoint's running streams. */
const RECENT_WINDOW_MILLISECONDS = 300;
const MIN_PACE = 0.4;
const MAX_PACE = 12;

/** An attempt that this VM has sent to an endpoint. */
export interface LocalAttempt {
  /** The prefill work before the endpoint can respond. */
  work: PrefillWork;
  /** Whether the attempt is still without its first event. */
  isPrefilling: boolean;
  /** Monotonic time in milliseconds. */
  sentAt: number;
}

interface PeerUse {
  receivedAt: number;
  running: number;
  prefillTokens: number;
  recentTokens: number;
}

/** What all peers together have at the endpoint. */
interface PeerTotals {
  running: number;
  pending: PrefillWork;
  recent: PrefillWork;
  /** When the oldest of the reports expires. */
  expiresAt: number;
}

/** The prefill work of attempts that were sent recently. */
interface RecentTotals extends PrefillWork {
  /** When the oldest of the attempts is no longer recent. */
  expiresAt: number;
}

/** Load, health and estimated prompt cache of one endpoint. */
export class EndpointState {
  /** Whether the endpoint is down or cold, and the limit that applies then. */
  readonly coldStart: ColdStartGuard;
  /** The limit that the endpoint states for itself. */
  readonly rateLimit: EndpointRateLimit | undefined;
  /** What the endpoint reports of its speed, if it does. */
  readonly speed: EndpointSpeed;
  /** The prompt parts that the endpoint probably has in its cache. */
  readonly cache = new PromptCacheMap();
  /** A hash of the endpoint's id, by which prompt parts are assigned to it. */
  readonly idHash: number;
  record: EndpointRecord;
  /** Whether the endpoint may be sent new requests. */
  isOpen = true;
  readonly #clock: Clock;
  readonly #activeAttempts = new Set<LocalAttempt>();
  /** Recently sent attempts that are past their prefill. */
  #recentAttempts: LocalAttempt[] = [];
  /** Undefined when it has to be summed up again. */
  #recentTotals: RecentTotals | undefined;
  readonly #peers = new Map<VmId, PeerUse>();
  /** Undefined when it has to be summed up again. */
  #peerTotals: PeerTotals | undefined;
  #failureRate = 0;
  #pace = 1;
  #pendingTokens = 0;
  #pendingPairs = 0;

  /** @param rateLimit undefined in tests without limits */
  constructor(
    record: EndpointRecord,
    clock: Clock,
    rateLimit?: EndpointRateLimit,
  ) {
    this.record = record;
    this.rateLimit = rateLimit;
    this.idHash = hashText(record.id);
    this.#clock = clock;
    this.coldStart = new ColdStartGuard(clock);
    this.speed = new EndpointSpeed(clock);
  }

  /** Running attempts of all VMs, as far as this VM knows. */
  get running(): number {
    const known = this.#activeAttempts.size + this.#findPeerTotals().running;
    return this.speed.computeRunning(known);
  }

  /** Tokens of all VMs' attempts that have no first event yet. */
  get pendingTokens(): number {
    return this.#pendingTokens + this.#findPeerTotals().pending.tokens;
  }

  /** Token pairs of the same attempts, in millions. */
  get pendingPairs(): number {
    return this.#pendingPairs + this.#findPeerTotals().pending.pairs;
  }

  /** The prefill work that is pending or was sent recently, from all VMs. */
  get recentPrefill(): PrefillWork {
    const { recent } = this.#findPeerTotals();
    const local = this.#findRecentTotals();
    return {
      tokens: this.#pendingTokens + local.tokens + recent.tokens,
      pairs: this.#pendingPairs + local.pairs + recent.pairs,
    };
  }

  /** Whether the endpoint's own limit allows one more request of this VM. */
  get hasRateCapacity(): boolean {
    return this.rateLimit?.hasCapacity() ?? true;
  }

  /** Records a request that is sent now, a health check as well. */
  recordArrival(): void {
    this.coldStart.recordArrival();
    this.rateLimit?.recordArrival();
  }

  /** Moving average of the failures among recent attempts, 0 to 1. */
  get failureRate(): number {
    return this.#failureRate;
  }

  /**
   * The expected ratio of measured to predicted times: their moving average and,
   * if the endpoint reports it, how slow it is at the moment.
   */
  get pace(): number {
    return this.#pace * this.speed.slowdown;
  }

  /** The moving average alone. */
  get usualPace(): number {
    return this.#pace;
  }

  /** Records an attempt that is sent now. */
  addAttempt(work: PrefillWork): LocalAttempt {
    const attempt = { work, isPrefilling: true, sentAt: this.#clock.now() };
    this.#activeAttempts.add(attempt);
    this.#pendingTokens += work.tokens;
    this.#pendingPairs += work.pairs;
    this.speed.recordSend();
    this.recordArrival();
    return attempt;
  }

  /** Adds an attempt that was sent earlier and is past its prefill. */
  adoptAttempt(): LocalAttempt {
    const attempt = {
      work: { tokens: 0, pairs: 0 },
      isPrefilling: false,
      sentAt: -Infinity,
    };
    this.#activeAttempts.add(attempt);
    return attempt;
  }

  /** Records that an attempt's response has begun. */
  markResponding(attempt: LocalAttempt): void {
    this.coldStart.recordResponseStart();
    this.#endPrefill(attempt);
  }

  #endPrefill(attempt: LocalAttempt): void {
    if (attempt.isPrefilling) {
      attempt.isPrefilling = false;
      this.#pendingTokens -= attempt.work.tokens;
      this.#pendingPairs -= attempt.work.pairs;
      this.#recentAttempts.push(attempt);
      this.#recentTotals = undefined;
    }
  }

  #findRecentTotals(): RecentTotals {
    const now = this.#clock.now();
    if (
      this.#recentTotals === undefined || now >= this.#recentTotals.expiresAt
    ) {
      this.#recentTotals = this.#sumRecentAttempts(now);
    }
    return this.#recentTotals;
  }

  #sumRecentAttempts(now: number): RecentTotals {
    const oldest = now - RECENT_WINDOW_MILLISECONDS;
    this.#recentAttempts = this.#recentAttempts.filter(({ sentAt }) =>
      sentAt > oldest
    );
    const totals = { tokens: 0, pairs: 0, expiresAt: Infinity };
    for (const { work, sentAt } of this.#recentAttempts) {
      totals.tokens += work.tokens;
      totals.pairs += work.pairs;
      totals.expiresAt = Math.min(
        totals.expiresAt,
        sentAt + RECENT_WINDOW_MILLISECONDS,
      );
    }
    return totals;
  }

  /** Records the end of an attempt. */
  removeAttempt(attempt: LocalAttempt): void {
    if (this.#activeAttempts.delete(attempt)) {
      this.#endPrefill(attempt);
    }
  }

  /** Records whether an attempt failed. */
  recordOutcome(isFailure: boolean): void {
    const outcome = isFailure ? 1 : 0;
    this.#failureRate += FAILURE_SMOOTHING_FACTOR *
      (outcome - this.#failureRate);
  }

  /** Records the ratio of measured to predicted time to the first event. */
  recordPace(ratio: number): void {
    const clamped = Math.min(MAX_PACE, Math.max(MIN_PACE, ratio));
    this.#pace += PACE_SMOOTHING_FACTOR * (clamped - this.#pace);
  }

  /** Replaces a peer's use of the endpoint; undefined if it has none. */
  mergePeer(vm: VmId, use: EndpointUse | undefined): void {
    if (use === undefined) {
      if (this.#peers.delete(vm)) {
        this.#peerTotals = undefined;
      }
      return;
    }
    this.#peerTotals = undefined;
    const receivedAt = this.#clock.now();
    const { running, prefillTokens, recentTokens, report } = use;
    if (report !== undefined) {
      this.speed.merge(report);
    }
    this.#peers.set(vm, { receivedAt, running, prefillTokens, recentTokens });
  }

  /** Builds this VM's report for its peers; undefined if there is none. */
  buildLocalUse(): EndpointUse | undefined {
    const downAgeMilliseconds = this.coldStart.downAgeMilliseconds;
    const recentTokens = Math.round(
      this.#pendingTokens + this.#findRecentTotals().tokens,
    );
    const report = this.speed.buildReport();
    const isUnused = this.#activeAttempts.size === 0 && recentTokens === 0 &&
      report === undefined;
    if (isUnused && downAgeMilliseconds === undefined) {
      return undefined;
    }
    return {
      endpoint: this.record.id,
      running: this.#activeAttempts.size,
      prefillTokens: Math.round(this.#pendingTokens),
      recentTokens,
      ...(downAgeMilliseconds === undefined ? {} : { downAgeMilliseconds }),
      ...(report === undefined ? {} : { report }),
    };
  }

  /** Resets what was learned about the endpoint's previous process. */
  restart(): void {
    this.cache.clear();
    this.speed.clear();
    this.#failureRate = 0;
    this.#pace = 1;
  }

  #findPeerTotals(): PeerTotals {
    const now = this.#clock.now();
    if (this.#peerTotals === undefined || now > this.#peerTotals.expiresAt) {
      this.#peerTotals = this.#sumPeers(now);
    }
    return this.#peerTotals;
  }

  #sumPeers(now: number): PeerTotals {
    const totals: PeerTotals = {
      running: 0,
      pending: { tokens: 0, pairs: 0 },
      recent: { tokens: 0, pairs: 0 },
      expiresAt: Infinity,
    };
    for (const [vm, peer] of this.#peers) {
      const expiresAt = peer.receivedAt + PEER_REPORT_LIFETIME_MILLISECONDS;
      if (now > expiresAt) {
        this.#peers.delete(vm);
        continue;
      }
      totals.running += peer.running;
      totals.pending.tokens += peer.prefillTokens;
      totals.pending.pairs += computeTypicalPairs(peer.prefillTokens);
      totals.recent.tokens += peer.recentTokens;
      totals.recent.pairs += computeTypicalPairs(peer.recentTokens);
      totals.expiresAt = Math.min(totals.expiresAt, expiresAt);
    }
    return totals;
  }
}

/**
 * Peers report tokens only; their token pairs are estimated for prompts of this
 * length.
 */
const TYPICAL_PROMPT_TOKENS = 6_000;

function computeTypicalPairs(tokens: number): number {
  return (tokens * Math.min(tokens, TYPICAL_PROMPT_TOKENS)) / 2e6;
}

/** The state that one VM keeps for an endpoint. */

import type { Clock } from "@rattanvane/base";
import type { EndpointUse, VmId } from "@rattanvane/protocol";
import type { EndpointRecord } from "../model/endpoint_record.ts";
import { ColdStartGuard } from "./cold_start_guard.ts";
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

/** Load, health and estimated prompt cache of one endpoint. */
export class EndpointState {
  /** Whether the endpoint is down or cold, and the limit that applies then. */
  readonly coldStart: ColdStartGuard;
  /** The prompt parts that the endpoint probably has in its cache. */
  readonly cache = new PromptCacheMap();
  record: EndpointRecord;
  /** Whether the endpoint may be sent new requests. */
  isOpen = true;
  readonly #clock: Clock;
  readonly #activeAttempts = new Set<LocalAttempt>();
  /** Recently sent attempts that are past their prefill. */
  #recentAttempts: LocalAttempt[] = [];
  readonly #peers = new Map<VmId, PeerUse>();
  #failureRate = 0;
  #pace = 1;
  #pendingTokens = 0;
  #pendingPairs = 0;

  constructor(record: EndpointRecord, clock: Clock) {
    this.record = record;
    this.#clock = clock;
    this.coldStart = new ColdStartGuard(clock);
  }

  /** Running attempts of all VMs, as far as this VM knows. */
  get running(): number {
    let sum = this.#activeAttempts.size;
    for (const peer of this.#listCurrentPeers()) {
      sum += peer.running;
    }
    return sum;
  }

  /** The prefill work of all VMs' attempts that have no first event yet. */
  get pendingPrefill(): PrefillWork {
    let tokens = this.#pendingTokens;
    let pairs = this.#pendingPairs;
    for (const peer of this.#listCurrentPeers()) {
      tokens += peer.prefillTokens;
      pairs += computeTypicalPairs(peer.prefillTokens);
    }
    return { tokens, pairs };
  }

  /** The prefill work that is pending or was sent recently, from all VMs. */
  get recentPrefill(): PrefillWork {
    let { tokens, pairs } = this.#sumLocalRecentPrefill();
    for (const { recentTokens } of this.#listCurrentPeers()) {
      tokens += recentTokens;
      pairs += computeTypicalPairs(recentTokens);
    }
    return { tokens, pairs };
  }

  /** Moving average of the failures among recent attempts, 0 to 1. */
  get failureRate(): number {
    return this.#failureRate;
  }

  /** Moving average of measured to predicted times to the first event. */
  get pace(): number {
    return this.#pace;
  }

  /** Records an attempt that is sent now. */
  addAttempt(work: PrefillWork): LocalAttempt {
    const attempt = { work, isPrefilling: true, sentAt: this.#clock.now() };
    this.#activeAttempts.add(attempt);
    this.#pendingTokens += work.tokens;
    this.#pendingPairs += work.pairs;
    this.coldStart.recordArrival();
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
    }
  }

  #sumLocalRecentPrefill(): PrefillWork {
    const oldest = this.#clock.now() - RECENT_WINDOW_MILLISECONDS;
    this.#recentAttempts = this.#recentAttempts.filter(({ sentAt }) =>
      sentAt > oldest
    );
    let tokens = this.#pendingTokens;
    let pairs = this.#pendingPairs;
    for (const { work } of this.#recentAttempts) {
      tokens += work.tokens;
      pairs += work.pairs;
    }
    return { tokens, pairs };
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
      this.#peers.delete(vm);
      return;
    }
    const receivedAt = this.#clock.now();
    const { running, prefillTokens, recentTokens } = use;
    this.#peers.set(vm, { receivedAt, running, prefillTokens, recentTokens });
  }

  /** Builds this VM's report for its peers; undefined if there is none. */
  buildLocalUse(): EndpointUse | undefined {
    const downAgeMilliseconds = this.coldStart.downAgeMilliseconds;
    const recentTokens = Math.round(this.#sumLocalRecentPrefill().tokens);
    const isUnused = this.#activeAttempts.size === 0 && recentTokens === 0;
    if (isUnused && downAgeMilliseconds === undefined) {
      return undefined;
    }
    return {
      endpoint: this.record.id,
      running: this.#activeAttempts.size,
      prefillTokens: Math.round(this.#pendingTokens),
      recentTokens,
      ...(downAgeMilliseconds === undefined ? {} : { downAgeMilliseconds }),
    };
  }

  /** Resets what was learned about the endpoint's previous process. */
  restart(): void {
    this.cache.clear();
    this.#failureRate = 0;
    this.#pace = 1;
  }

  *#listCurrentPeers(): Iterable<PeerUse> {
    const oldest = this.#clock.now() - PEER_REPORT_LIFETIME_MILLISECONDS;
    for (const peer of this.#peers.values()) {
      if (peer.receivedAt >= oldest) {
        yield peer;
      }
    }
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

/** What one VM knows of an endpoint that it may send to. */

import type { Clock } from "@rattanvane/base";
import type { EndpointUse, VmId } from "@rattanvane/protocol";
import type { EndpointRecord } from "../model/endpoint_record.ts";
import { ColdGuard } from "./cold_guard.ts";
import type { PrefillWork } from "./prefill_model.ts";
import { PromptCacheMap } from "./prompt_cache_map.ts";

/** What a silent peer said counts for so long. */
const PEER_EXPIRY_MILLISECONDS = 1_000;
const FAILURE_SMOOTHING = 0.05;
const PACE_SMOOTHING = 0.08;
/** What was sent so lately delays the streams that run there now. */
const RECENT_MILLISECONDS = 300;
const LEAST_PACE = 0.4;
const HIGHEST_PACE = 12;

/** One attempt that this VM has at an endpoint. */
export interface OwnAttempt {
  /** What the endpoint has to read before it answers. */
  work: PrefillWork;
  /** No event has come yet. */
  isReading: boolean;
  sentAt: number;
}

interface PeerUse {
  receivedAt: number;
  running: number;
  prefillTokens: number;
  recentTokens: number;
}

/** Counts, health and contents of one endpoint. */
export class EndpointState {
  readonly cold: ColdGuard;
  readonly cache = new PromptCacheMap();
  record: EndpointRecord;
  /** Whether it may get new requests. */
  isOpen = true;
  readonly #clock: Clock;
  readonly #attempts = new Set<OwnAttempt>();
  /** Attempts that have begun to answer or ended, and were sent lately. */
  #recent: OwnAttempt[] = [];
  readonly #peers = new Map<VmId, PeerUse>();
  #failureShare = 0;
  #pace = 1;
  #ownTokens = 0;
  #ownPairs = 0;

  constructor(record: EndpointRecord, clock: Clock) {
    this.record = record;
    this.#clock = clock;
    this.cold = new ColdGuard(clock);
  }

  /** Attempts that all VMs have there, as far as this VM knows. */
  get running(): number {
    let sum = this.#attempts.size;
    for (const peer of this.#listPeers()) {
      sum += peer.running;
    }
    return sum;
  }

  /** What all VMs' attempts still have to read there. */
  get waitingWork(): PrefillWork {
    let tokens = this.#ownTokens;
    let pairs = this.#ownPairs;
    for (const peer of this.#listPeers()) {
      tokens += peer.prefillTokens;
      pairs += computeLikelyPairs(peer.prefillTokens);
    }
    return { tokens, pairs };
  }

  /** What was sent there lately or still has to be read. */
  get recentWork(): PrefillWork {
    let { tokens, pairs } = this.#sumOwnRecent();
    for (const { recentTokens } of this.#listPeers()) {
      tokens += recentTokens;
      pairs += computeLikelyPairs(recentTokens);
    }
    return { tokens, pairs };
  }

  /** The part of the newest answers that were failures, 0 to 1. */
  get failureShare(): number {
    return this.#failureShare;
  }

  /** Its times, relative to what the model predicts. */
  get pace(): number {
    return this.#pace;
  }

  /** Notes an attempt that is sent now. */
  addAttempt(work: PrefillWork): OwnAttempt {
    const attempt = { work, isReading: true, sentAt: this.#clock.now() };
    this.#attempts.add(attempt);
    this.#ownTokens += work.tokens;
    this.#ownPairs += work.pairs;
    this.cold.countArrival();
    return attempt;
  }

  /** Notes that an attempt's answer has begun. */
  markAnswering(attempt: OwnAttempt): void {
    this.cold.noteAnswer();
    this.#markRead(attempt);
  }

  #markRead(attempt: OwnAttempt): void {
    if (attempt.isReading) {
      attempt.isReading = false;
      this.#ownTokens -= attempt.work.tokens;
      this.#ownPairs -= attempt.work.pairs;
      this.#recent.push(attempt);
    }
  }

  #sumOwnRecent(): PrefillWork {
    const oldest = this.#clock.now() - RECENT_MILLISECONDS;
    this.#recent = this.#recent.filter(({ sentAt }) => sentAt > oldest);
    let tokens = this.#ownTokens;
    let pairs = this.#ownPairs;
    for (const { work } of this.#recent) {
      tokens += work.tokens;
      pairs += work.pairs;
    }
    return { tokens, pairs };
  }

  /** Notes the end of an attempt. */
  removeAttempt(attempt: OwnAttempt): void {
    if (this.#attempts.delete(attempt)) {
      this.#markRead(attempt);
    }
  }

  /** Notes whether an attempt was answered as it should be. */
  recordOutcome(isFailure: boolean): void {
    const outcome = isFailure ? 1 : 0;
    this.#failureShare += FAILURE_SMOOTHING * (outcome - this.#failureShare);
  }

  /** Notes how a time compares with what was predicted. */
  recordPace(ratio: number): void {
    const bounded = Math.min(HIGHEST_PACE, Math.max(LEAST_PACE, ratio));
    this.#pace += PACE_SMOOTHING * (bounded - this.#pace);
  }

  /** Takes in what a peer runs there. */
  mergePeer(vm: VmId, use: EndpointUse | undefined): void {
    if (use === undefined) {
      this.#peers.delete(vm);
      return;
    }
    const receivedAt = this.#clock.now();
    const { running, prefillTokens, recentTokens } = use;
    this.#peers.set(vm, { receivedAt, running, prefillTokens, recentTokens });
  }

  /** What the peers should know; undefined for nothing. */
  describeUse(): EndpointUse | undefined {
    const downAgeMilliseconds = this.cold.downAgeMilliseconds;
    const recentTokens = Math.round(this.#sumOwnRecent().tokens);
    const isUnused = this.#attempts.size === 0 && recentTokens === 0;
    if (isUnused && downAgeMilliseconds === undefined) {
      return undefined;
    }
    return {
      endpoint: this.record.id,
      running: this.#attempts.size,
      prefillTokens: Math.round(this.#ownTokens),
      recentTokens,
      ...(downAgeMilliseconds === undefined ? {} : { downAgeMilliseconds }),
    };
  }

  /** Forgets what ended with the endpoint's former process. */
  restart(): void {
    this.cache.clear();
    this.#failureShare = 0;
    this.#pace = 1;
  }

  *#listPeers(): Iterable<PeerUse> {
    const oldest = this.#clock.now() - PEER_EXPIRY_MILLISECONDS;
    for (const peer of this.#peers.values()) {
      if (peer.receivedAt >= oldest) {
        yield peer;
      }
    }
  }
}

/** Peers tell tokens only; they are taken for prompts of this length. */
const TYPICAL_PROMPT_TOKENS = 6_000;

function computeLikelyPairs(tokens: number): number {
  return (tokens * Math.min(tokens, TYPICAL_PROMPT_TOKENS)) / 2e6;
}

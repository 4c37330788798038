/** Engines that read prompts in chunks between the tokens of their streams. */

import type { Clock } from "@rattanvane/base";
import type { Prompt } from "../model/call.ts";
import { computePairs } from "../scheduling/prefill_model.ts";

const BASE_STEP_MILLISECONDS = 4.23;
const CHUNK_TOKENS = 4_096;
/** The prompt tokens that an engine reads in a millisecond. */
export const PREFILL_TOKENS_PER_MILLISECOND = 64.2;
const MILLISECONDS_PER_MILLION_PAIRS = 0.647;
const TOKENS_PER_EVENT = 7;

/** What a caller sees of a stream, in milliseconds. */
export interface StreamTimes {
  firstMilliseconds: number;
  longestPauseMilliseconds: number;
  /** Whether the last event came before the caller's deadline. */
  isComplete: boolean;
}

/** A request that an engine runs. */
export interface BatchRequest {
  prompt: Prompt;
  /** When the caller gives up, in milliseconds of the clock. */
  deadlineAt: number;
  onFirstEvent: () => void;
}

interface BatchEntry extends BatchRequest {
  startedAt: number;
  /** Prompt tokens that are still to be read. */
  unreadTokens: number;
  tokensLeft: number;
  tokensSinceEvent: number;
  lastEventAt: number;
  times: StreamTimes;
  onEnd: (times: StreamTimes) => void;
}

/** One engine; it keeps every part that it has read. */
export class SimulatedBatch {
  readonly #clock: Clock;
  readonly #cachedParts = new Set<string>();
  readonly #unread: BatchEntry[] = [];
  readonly #streams = new Set<BatchEntry>();
  #isRunning = false;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Runs a request until its last event or its deadline. */
  run(request: BatchRequest): Promise<StreamTimes> {
    const { prompt } = request;
    return new Promise((resolve) => {
      this.#unread.push({
        ...request,
        startedAt: this.#clock.now(),
        unreadTokens: this.#readParts(prompt),
        tokensLeft: prompt.outputTokens,
        tokensSinceEvent: 0,
        lastEventAt: 0,
        times: {
          firstMilliseconds: 0,
          longestPauseMilliseconds: 0,
          isComplete: false,
        },
        onEnd: resolve,
      });
      if (!this.#isRunning) {
        this.#isRunning = true;
        void this.#runSteps();
      }
    });
  }

  /** Returns the tokens that have to be read, and keeps the parts. */
  #readParts({ parts }: Prompt): number {
    let unread = 0;
    for (const { id, tokens } of parts) {
      unread += this.#cachedParts.has(id) ? 0 : tokens;
      this.#cachedParts.add(id);
    }
    return unread;
  }

  async #runSteps(): Promise<void> {
    const { signal } = new AbortController();
    while (this.#unread.length + this.#streams.size > 0) {
      const { milliseconds, done } = this.#readChunk();
      await this.#clock.sleep(BASE_STEP_MILLISECONDS + milliseconds, signal);
      const now = this.#clock.now();
      for (const entry of this.#streams) {
        this.#generateToken(entry, now);
      }
      for (const entry of done) {
        entry.lastEventAt = now;
        entry.times.firstMilliseconds = now - entry.startedAt;
        this.#streams.add(entry);
        entry.onFirstEvent();
      }
    }
    this.#isRunning = false;
  }

  #readChunk(): { milliseconds: number; done: BatchEntry[] } {
    const done: BatchEntry[] = [];
    let left = CHUNK_TOKENS;
    let milliseconds = 0;
    for (let entry = this.#unread[0]; entry !== undefined && left > 0;) {
      const tokens = Math.min(left, entry.unreadTokens);
      const read = entry.prompt.tokens - entry.unreadTokens;
      milliseconds += tokens / PREFILL_TOKENS_PER_MILLISECOND +
        computePairs(tokens, read + tokens) * MILLISECONDS_PER_MILLION_PAIRS;
      left -= tokens;
      entry.unreadTokens -= tokens;
      if (entry.unreadTokens > 0) {
        break;
      }
      this.#unread.shift();
      done.push(entry);
      entry = this.#unread[0];
    }
    return { milliseconds, done };
  }

  #generateToken(entry: BatchEntry, now: number): void {
    entry.tokensLeft--;
    entry.tokensSinceEvent++;
    const isLast = entry.tokensLeft <= 0;
    if (isLast || entry.tokensSinceEvent >= TOKENS_PER_EVENT) {
      entry.tokensSinceEvent = 0;
      entry.times.longestPauseMilliseconds = Math.max(
        entry.times.longestPauseMilliseconds,
        now - entry.lastEventAt,
      );
      entry.lastEventAt = now;
    }
    if (isLast || now >= entry.deadlineAt) {
      entry.times.isComplete = isLast;
      this.#streams.delete(entry);
      entry.onEnd(entry.times);
    }
  }
}

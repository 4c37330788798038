/** In-memory registry of running and completed calls, with bounded size. */

import type { Clock } from "@rattanvane/base";
import { err, ok } from "neverthrow";
import {
  createUnknown,
  type Execution,
  ExecutionKind,
  type KeyedCallResult,
} from "./execution.ts";
import { KeyError, KeyErrorKind } from "./key_error.ts";

const ENTRY_OVERHEAD_BYTES = 200;
const HEADER_OVERHEAD_BYTES = 16;
const OVERLOAD_RETRY_AFTER_MILLISECONDS = 5_000;

/** Dependencies and bounds of a {@link CallRegistry}. */
export interface CallRegistryOptions {
  clock: Clock;
  /** The total size of cached results above which the oldest are evicted. */
  resultLimitBytes: number;
  /** How long a result stays cached after its call has completed. */
  resultRetentionMilliseconds: number;
  /** The maximum number of entries; calls beyond it are refused, not run. */
  callLimit: number;
}

/** A call to run at most once. */
export interface RegisteredCall {
  /** Identifies the idempotency key together with its organisation. */
  id: string;
  /** The idempotency key as the caller sent it, for error messages. */
  key: string;
  fingerprint: string;
  /**
   * The time, by `Clock.now`, until which the entry stays registered even when
   * its result has been evicted, so that the call is not run again. 0 when
   * another mechanism prevents a second run.
   */
  retainUntil: number;
  start: () => Promise<CallOutcome>;
}

/** The result of a call that has completed. */
export interface CallOutcome {
  result: KeyedCallResult;
  /** Whether all retries get this result instead of running the call again. */
  final: boolean;
}

interface RunningCall {
  fingerprint: string;
  outcome: Promise<CallOutcome>;
}

interface CompletedCall {
  fingerprint: string;
  retainUntil: number;
  result: KeyedCallResult | undefined;
  bytes: number;
  completedAt: number;
}

/**
 * Runs each call at most once. Retries wait for the running call or receive its
 * cached result.
 */
export class CallRegistry {
  readonly #options: CallRegistryOptions;
  readonly #running = new Map<string, RunningCall>();
  /** In the order of completion. */
  readonly #completed = new Map<string, CompletedCall>();
  #resultBytes = 0;

  constructor(options: CallRegistryOptions) {
    this.#options = options;
  }

  /** The number of entries: calls that are running or have completed. */
  get size(): number {
    return this.#running.size + this.#completed.size;
  }

  /** The total size of all cached results. */
  get resultBytes(): number {
    return this.#resultBytes;
  }

  /**
   * Starts the call, waits for it when it is already running, or replays its
   * result. Fails with a Mismatch error when the key was used for another call.
   */
  async run(call: RegisteredCall): Promise<KeyedCallResult> {
    this.#evict();
    const known = this.#running.get(call.id) ?? this.#completed.get(call.id);
    if (known === undefined) {
      return await this.#start(call);
    }
    if (known.fingerprint !== call.fingerprint) {
      return err(new KeyError(KeyErrorKind.Mismatch, call.key));
    }
    const result = "outcome" in known
      ? (await known.outcome).result
      : known.result;
    if (result === undefined) {
      const reason =
        "the call has completed, but its result is no longer stored";
      return ok({ execution: createUnknown(reason), replayed: true });
    }
    return result.map(({ execution }) => ({ execution, replayed: true }));
  }

  /** Whether the call is running or its entry is still registered. */
  has(id: string): boolean {
    this.#evict();
    return this.#running.has(id) || this.#completed.has(id);
  }

  async #start(call: RegisteredCall): Promise<KeyedCallResult> {
    if (this.size >= this.#options.callLimit) {
      return ok({ execution: createOverloadRefusal(), replayed: false });
    }
    const outcome = call.start();
    this.#running.set(call.id, { fingerprint: call.fingerprint, outcome });
    try {
      const { result, final } = await outcome;
      if (final) {
        this.#addCompleted(call, result);
      }
      return result;
    } finally {
      this.#running.delete(call.id);
    }
  }

  #addCompleted(call: RegisteredCall, result: KeyedCallResult): void {
    const bytes = computeResultBytes(result);
    this.#completed.set(call.id, {
      fingerprint: call.fingerprint,
      retainUntil: call.retainUntil,
      result,
      bytes,
      completedAt: this.#options.clock.now(),
    });
    this.#resultBytes += bytes;
    this.#evict();
  }

  /**
   * Drops results that are past their retention or exceed the size limit, the
   * oldest first, and removes entries that need not be retained any longer.
   */
  #evict(): void {
    const now = this.#options.clock.now();
    const { resultRetentionMilliseconds, resultLimitBytes } = this.#options;
    for (const [id, call] of this.#completed) {
      const isExpired = call.completedAt + resultRetentionMilliseconds <= now;
      if (!isExpired && this.#resultBytes <= resultLimitBytes) {
        return;
      }
      this.#resultBytes -= call.bytes;
      call.bytes = 0;
      call.result = undefined;
      if (call.retainUntil <= now) {
        this.#completed.delete(id);
      }
    }
  }
}

function createOverloadRefusal(): Execution {
  return {
    kind: ExecutionKind.NotRun,
    reason: "this VM has reached its limit of registered calls",
    retryAfterMilliseconds: OVERLOAD_RETRY_AFTER_MILLISECONDS,
  };
}

function computeResultBytes(result: KeyedCallResult): number {
  if (result.isErr() || result.value.execution.kind !== "answered") {
    return ENTRY_OVERHEAD_BYTES;
  }
  const { headers, body } = result.value.execution;
  let bytes = ENTRY_OVERHEAD_BYTES + body.byteLength;
  for (const { name, value } of headers) {
    bytes += HEADER_OVERHEAD_BYTES + name.length + value.length;
  }
  return bytes;
}

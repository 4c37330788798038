/** The calls that this process runs or has run, in bounded memory. */

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
const FULL_RETRY_AFTER_MILLISECONDS = 5_000;

/** Bounds of a registry. */
export interface CallRegistryOptions {
  clock: Clock;
  /** The most memory that kept results take. */
  resultLimitBytes: number;
  /** How long a result is kept. */
  resultRetentionMilliseconds: number;
  /** The most calls that are remembered; further ones are not run. */
  callLimit: number;
}

/** A call as the registry runs it. */
export interface RegisteredCall {
  /** Names the key and its organisation. */
  id: string;
  /** As the caller gave it; for errors. */
  key: string;
  fingerprint: string;
  /**
   * Until when the call is remembered after its result is gone, by
   * `Clock.now`; 0 where something else guards against a second run.
   */
  rememberUntil: number;
  start: () => Promise<CallEnd>;
}

/** How a call ended. */
export interface CallEnd {
  result: KeyedCallResult;
  /** Whether every repeat must get this result. */
  final: boolean;
}

interface RunningCall {
  fingerprint: string;
  end: Promise<CallEnd>;
}

interface EndedCall {
  fingerprint: string;
  rememberUntil: number;
  result: KeyedCallResult | undefined;
  bytes: number;
  endedAt: number;
}

/** Runs each call once; repeats join it or get its kept result. */
export class CallRegistry {
  readonly #options: CallRegistryOptions;
  readonly #running = new Map<string, RunningCall>();
  /** In the order in which the calls ended. */
  readonly #ended = new Map<string, EndedCall>();
  #resultBytes = 0;

  constructor(options: CallRegistryOptions) {
    this.#options = options;
  }

  /** How many calls are running or remembered. */
  get size(): number {
    return this.#running.size + this.#ended.size;
  }

  /** The memory that kept results take. */
  get resultBytes(): number {
    return this.#resultBytes;
  }

  /** Starts a call, joins it while it runs, or replays its result. */
  async run(call: RegisteredCall): Promise<KeyedCallResult> {
    this.#removeOld();
    const known = this.#running.get(call.id) ?? this.#ended.get(call.id);
    if (known === undefined) {
      return await this.#start(call);
    }
    if (known.fingerprint !== call.fingerprint) {
      return err(new KeyError(KeyErrorKind.Mismatch, call.key));
    }
    const result = "end" in known ? (await known.end).result : known.result;
    if (result === undefined) {
      const reason = "the call has ended and its result is no longer kept";
      return ok({ execution: createUnknown(reason), replayed: true });
    }
    return result.map(({ execution }) => ({ execution, replayed: true }));
  }

  /** Whether a call runs or is remembered. */
  has(id: string): boolean {
    this.#removeOld();
    return this.#running.has(id) || this.#ended.has(id);
  }

  async #start(call: RegisteredCall): Promise<KeyedCallResult> {
    if (this.size >= this.#options.callLimit) {
      return ok({ execution: createFullRefusal(), replayed: false });
    }
    const end = call.start();
    this.#running.set(call.id, { fingerprint: call.fingerprint, end });
    try {
      const { result, final } = await end;
      if (final) {
        this.#keep(call, result);
      }
      return result;
    } finally {
      this.#running.delete(call.id);
    }
  }

  #keep(call: RegisteredCall, result: KeyedCallResult): void {
    const bytes = measureResult(result);
    this.#ended.set(call.id, {
      fingerprint: call.fingerprint,
      rememberUntil: call.rememberUntil,
      result,
      bytes,
      endedAt: this.#options.clock.now(),
    });
    this.#resultBytes += bytes;
    this.#removeOld();
  }

  #removeOld(): void {
    const now = this.#options.clock.now();
    const { resultRetentionMilliseconds, resultLimitBytes } = this.#options;
    for (const [id, call] of this.#ended) {
      const isOld = call.endedAt + resultRetentionMilliseconds <= now;
      if (!isOld && this.#resultBytes <= resultLimitBytes) {
        return;
      }
      this.#resultBytes -= call.bytes;
      call.bytes = 0;
      call.result = undefined;
      if (call.rememberUntil <= now) {
        this.#ended.delete(id);
      }
    }
  }
}

function createFullRefusal(): Execution {
  return {
    kind: ExecutionKind.NotRun,
    reason: "this VM remembers as many calls as it may",
    retryAfterMilliseconds: FULL_RETRY_AFTER_MILLISECONDS,
  };
}

function measureResult(result: KeyedCallResult): number {
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

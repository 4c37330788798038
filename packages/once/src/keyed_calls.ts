/** The ingress's way to run calls that must not be repeated. */

import type { Clock, Logger, RandomSource } from "@rattanvane/base";
import type { ObjectStore, TableService } from "@rattanvane/platform";
import { addAbortListener } from "@rattanvane/platform";
import type { OrganisationId, VmId } from "@rattanvane/protocol";
import { ok } from "neverthrow";
import { CallRegistry } from "./call_registry.ts";
import { CallerKeyCalls } from "./caller_key_calls.ts";
import { formatRowKey } from "./caller_key.ts";
import {
  createUnknown,
  type Execute,
  type KeyedCall,
  type KeyedCallResult,
} from "./execution.ts";
import { hashCall } from "./fingerprint.ts";
import { IssuedKeyCalls } from "./issued_key_calls.ts";
import { isIssuedKey, IssuedKeys } from "./issued_keys.ts";
import type { CallForwarder } from "./key_forwarder.ts";
import { DEFAULT_ONCE_LIMITS, type OnceLimits } from "./once_limits.ts";
import { ResultRecorder } from "./result_recorder.ts";
import { ResultStore } from "./result_store.ts";
import { RowClaims } from "./row_claim.ts";
import type { RowWriter } from "./row_writer.ts";

/** What keyed calls work with. */
export interface KeyedCallsOptions {
  vm: VmId;
  /** Differs for every process that ever runs on the VM. */
  incarnation: string;
  /** See `generateKeySecret`; never leaves the process. */
  secret: Uint8Array;
  table: TableService;
  objects: ObjectStore;
  writer: RowWriter;
  forwarder: CallForwarder;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  limits?: Partial<OnceLimits>;
}

/** Runs each key at most once in the fleet. */
export class KeyedCalls {
  readonly #keys: IssuedKeys;
  readonly #registry: CallRegistry;
  readonly #issued: IssuedKeyCalls;
  readonly #callers: CallerKeyCalls;

  constructor(options: KeyedCallsOptions, signal: AbortSignal) {
    const { vm, incarnation, clock, random, forwarder } = options;
    const limits = { ...DEFAULT_ONCE_LIMITS, ...options.limits };
    this.#keys = new IssuedKeys({
      ...options,
      lifetimeMilliseconds: limits.issuedKeyLifetimeMilliseconds,
    });
    this.#registry = new CallRegistry({ ...limits, clock });
    const keys = this.#keys;
    const registry = this.#registry;
    this.#issued = new IssuedKeyCalls(
      { vm, keys, registry, forwarder, clock },
      signal,
    );
    const results = new ResultStore({ ...limits, objects: options.objects });
    const claims = new RowClaims(options);
    this.#callers = new CallerKeyCalls({
      ...limits,
      owner: { vm, incarnation },
      claims,
      results,
      recorder: new ResultRecorder({ ...options, ...limits, claims, results }),
      forwarder,
      clock,
      random,
      times: limits,
    }, signal);
  }

  /** Issues a key that only this process will run; needs no platform. */
  issueKey(organisation: OrganisationId): string {
    return this.#keys.issue(organisation);
  }

  /**
   * Runs the call, joins it, or replays its result. When the caller's signal
   * aborts, only the caller stops waiting.
   */
  async run(
    call: KeyedCall,
    execute: Execute,
    signal: AbortSignal,
  ): Promise<KeyedCallResult> {
    const result = isIssuedKey(call.key)
      ? this.#issued.run(call, execute)
      : this.#runCallerKey(call, execute);
    return await waitFor(result, signal);
  }

  /** Waits until the ends of finished calls are in the platform's table. */
  async settle(): Promise<void> {
    await this.#callers.settle();
  }

  #runCallerKey(call: KeyedCall, execute: Execute): Promise<KeyedCallResult> {
    return this.#registry.run({
      id: formatRowKey(call.organisation, call.key),
      key: call.key,
      fingerprint: hashCall(call),
      // The row guards against a second run when the result is gone.
      rememberUntil: 0,
      start: () => this.#callers.run(call, execute),
    });
  }
}

/** Waits for a result no longer than the caller does. */
async function waitFor(
  result: Promise<KeyedCallResult>,
  signal: AbortSignal,
): Promise<KeyedCallResult> {
  const gone: KeyedCallResult = ok({
    execution: createUnknown("the caller stopped waiting for the call"),
    replayed: false,
  });
  if (signal.aborted) {
    return gone;
  }
  let removeListener = () => {};
  const aborted = new Promise<KeyedCallResult>((resolve) => {
    removeListener = addAbortListener(signal, () => resolve(gone));
  });
  try {
    return await Promise.race([result, aborted]);
  } finally {
    removeListener();
  }
}

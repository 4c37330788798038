/** Entry point of the ingress for calls that must run at most once. */

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

/** Dependencies and limits of {@link KeyedCalls}. */
export interface KeyedCallsOptions {
  vm: VmId;
  /** Unique for every process that ever runs on the VM. */
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

/** Runs the call of each idempotency key at most once in the fleet. */
export class KeyedCalls {
  readonly #issuedKeys: IssuedKeys;
  readonly #registry: CallRegistry;
  readonly #issuedKeyCalls: IssuedKeyCalls;
  readonly #callerKeyCalls: CallerKeyCalls;

  constructor(options: KeyedCallsOptions, signal: AbortSignal) {
    const { vm, incarnation, clock, random, forwarder } = options;
    const limits = { ...DEFAULT_ONCE_LIMITS, ...options.limits };
    this.#issuedKeys = new IssuedKeys({
      ...options,
      lifetimeMilliseconds: limits.issuedKeyLifetimeMilliseconds,
    });
    this.#registry = new CallRegistry({ ...limits, clock });
    const keys = this.#issuedKeys;
    const registry = this.#registry;
    this.#issuedKeyCalls = new IssuedKeyCalls(
      { vm, keys, registry, forwarder, clock },
      signal,
    );
    const results = new ResultStore({ ...limits, objects: options.objects });
    const claims = new RowClaims(options);
    this.#callerKeyCalls = new CallerKeyCalls({
      ...limits,
      owner: { vm, incarnation },
      claims,
      results,
      recorder: new ResultRecorder({ ...options, ...limits, claims, results }),
      forwarder,
      clock,
      random,
      policy: limits,
    }, signal);
  }

  /**
   * Issues a key whose call only this process may run. Works without the
   * platform.
   */
  issueKey(organisation: OrganisationId): string {
    return this.#issuedKeys.issue(organisation);
  }

  /**
   * Runs the call, joins it while it is running, or replays its result. When the
   * caller's signal aborts, the call itself continues; only this promise resolves
   * early, with an unknown outcome.
   */
  async run(
    call: KeyedCall,
    execute: Execute,
    signal: AbortSignal,
  ): Promise<KeyedCallResult> {
    const result = isIssuedKey(call.key)
      ? this.#issuedKeyCalls.run(call, execute)
      : this.#runCallerKey(call, execute);
    return await waitUntilAborted(result, signal);
  }

  /**
   * Waits until the results of completed calls are recorded in the platform's
   * table or recording them has failed.
   */
  async settle(): Promise<void> {
    await this.#callerKeyCalls.settle();
  }

  #runCallerKey(call: KeyedCall, execute: Execute): Promise<KeyedCallResult> {
    return this.#registry.run({
      id: formatRowKey(call.organisation, call.key),
      key: call.key,
      fingerprint: hashCall(call),
      // The table row prevents a second run once the result has been evicted.
      retainUntil: 0,
      start: () => this.#callerKeyCalls.run(call, execute),
    });
  }
}

/** Waits for a result until the caller's signal aborts. */
async function waitUntilAborted(
  result: Promise<KeyedCallResult>,
  signal: AbortSignal,
): Promise<KeyedCallResult> {
  const abortedResult: KeyedCallResult = ok({
    execution: createUnknown("the caller stopped waiting for the call"),
    replayed: false,
  });
  if (signal.aborted) {
    return abortedResult;
  }
  let removeListener = () => {};
  const aborted = new Promise<KeyedCallResult>((resolve) => {
    removeListener = addAbortListener(signal, () => resolve(abortedResult));
  });
  try {
    return await Promise.race([result, aborted]);
  } finally {
    removeListener();
  }
}

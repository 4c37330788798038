/** Runs calls with caller-supplied keys, guarded by rows of the platform's table. */

import {
  type Clock,
  computeBackoff,
  type RandomSource,
} from "@rattanvane/base";
import type { AttemptId, VmId } from "@rattanvane/protocol";
import { err, ok } from "neverthrow";
import type { CallOutcome } from "./call_registry.ts";
import {
  type CallerKey,
  type CallerKeyPolicy,
  formatRowKey,
  validateCallerKey,
} from "./caller_key.ts";
import { type CallRow, CallRowState, type RowOwner } from "./call_row.ts";
import {
  createUnknown,
  type Execute,
  type Execution,
  ExecutionKind,
  type KeyedCall,
  type KeyedCallResult,
  runExecution,
} from "./execution.ts";
import { hashCall } from "./fingerprint.ts";
import type { CallForwarder } from "./key_forwarder.ts";
import { KeyError, KeyErrorKind } from "./key_error.ts";
import type { ResultRecorder } from "./result_recorder.ts";
import type { ResultStore } from "./result_store.ts";
import { ClaimKind, type RowClaims, type VersionedRow } from "./row_claim.ts";

const MAXIMUM_CLAIM_ATTEMPTS = 4;
const MAXIMUM_UNSENT_ATTEMPTS = 10_000;
const POLL_BACKOFF = { initialMilliseconds: 250, maximumMilliseconds: 2_000 };

/** Dependencies and limits of {@link CallerKeyCalls}. */
export interface CallerKeyCallsOptions {
  owner: RowOwner;
  claims: RowClaims;
  recorder: ResultRecorder;
  results: ResultStore;
  forwarder: CallForwarder;
  clock: Clock;
  random: RandomSource;
  policy: CallerKeyPolicy;
  /** How long a retry polls the row of a call that another VM runs. */
  pollMilliseconds: number;
  /** The maximum time from validating a key to starting its attempt. */
  startLimitMilliseconds: number;
}

/** A call with the values that are derived from it once. */
interface CallContext {
  call: KeyedCall;
  execute: Execute;
  rowKey: string;
  fingerprint: string;
  callerKey: CallerKey;
  /** When the key was validated; by both clocks, since either may stand still. */
  validatedAt: { now: number; wallTime: number };
}

/**
 * Runs the call of a caller-supplied key at most once in the fleet, or returns
 * the result of the earlier call.
 */
export class CallerKeyCalls {
  readonly #options: CallerKeyCallsOptions;
  readonly #signal: AbortSignal;
  /** Attempts of this process that may own a row, but were never sent. */
  readonly #unsent = new Set<AttemptId>();
  readonly #pendingRecords = new Set<Promise<void>>();
  #attemptCount = 0;

  constructor(options: CallerKeyCallsOptions, signal: AbortSignal) {
    this.#options = options;
    this.#signal = signal;
  }

  /**
   * Runs the call or returns the result of an earlier call with the key. Must
   * not be called concurrently for the same key.
   */
  async run(call: KeyedCall, execute: Execute): Promise<CallOutcome> {
    const { policy, clock } = this.#options;
    const wallTime = clock.wallTime();
    const callerKey = validateCallerKey(call.key, { policy, wallTime });
    if (callerKey.isErr()) {
      return { result: err(callerKey.error), final: false };
    }
    return await this.#claimAndRun({
      call,
      execute,
      rowKey: formatRowKey(call.organisation, call.key),
      fingerprint: hashCall(call),
      callerKey: callerKey.value,
      validatedAt: { now: clock.now(), wallTime },
    });
  }

  /**
   * Waits until the results of all calls so far are recorded or recording them
   * has failed.
   */
  async settle(): Promise<void> {
    await Promise.all(this.#pendingRecords);
  }

  async #claimAndRun(context: CallContext): Promise<CallOutcome> {
    let replacedVersion: number | undefined;
    for (let claims = 0; claims < MAXIMUM_CLAIM_ATTEMPTS; claims++) {
      const row = this.#createRow(context);
      const claim = await this.#options.claims.claim(
        context.rowKey,
        { row, replacedVersion },
        this.#signal,
      );
      switch (claim.kind) {
        case ClaimKind.Owned: {
          const { version } = claim;
          return await this.#runOwned(context, { row, version });
        }
        case ClaimKind.Failed:
          this.#addUnsent(row.attempt);
          return createProvisionalOutcome(
            `the row could not be claimed in the platform's table: ${claim.reason}; ` +
              "this call was not sent, but an earlier one may have been",
          );
        case ClaimKind.Taken:
          if (!this.#isReplaceable(context, claim.existing)) {
            return await this.#resolveExisting(context, claim.existing);
          }
          replacedVersion = claim.existing.version;
      }
    }
    return createProvisionalOutcome(
      "other calls with this key claimed its row first every time",
    );
  }

  #createRow(context: CallContext): CallRow {
    const { owner } = this.#options;
    this.#attemptCount++;
    return {
      state: CallRowState.Running,
      attempt: `${owner.vm}-${owner.incarnation}-${this.#attemptCount}`,
      owner,
      fingerprint: context.fingerprint,
      removableAt: context.callerKey.removableAt,
    };
  }

  async #runOwned(
    context: CallContext,
    owned: { row: CallRow; version: number },
  ): Promise<CallOutcome> {
    const { row, version } = owned;
    if (this.#isPastStartLimit(context)) {
      this.#addUnsent(row.attempt);
      return createProvisionalOutcome(
        "this VM was paused before it could send the call; it has not sent it",
      );
    }
    const execution = await runExecution(context.execute, this.#signal);
    if (execution.kind === ExecutionKind.NotRun) {
      this.#addUnsent(row.attempt);
    }
    const recorded = this.#options.recorder.record(
      { key: context.rowKey, row, version },
      execution,
      this.#signal,
    );
    this.#addPendingRecord(recorded);
    const final = execution.kind !== ExecutionKind.NotRun;
    return { result: ok({ execution, replayed: false }), final };
  }

  /**
   * Whether the start limit has passed since the key was validated. The row of
   * an earlier run may then have been removed in the meantime, so that the row
   * that this process has claimed does not prove that the call has not run.
   */
  #isPastStartLimit(context: CallContext): boolean {
    const { clock, startLimitMilliseconds } = this.#options;
    const { now, wallTime } = context.validatedAt;
    const elapsed = Math.max(clock.now() - now, clock.wallTime() - wallTime);
    return elapsed > startLimitMilliseconds;
  }

  /** Whether a new attempt may claim the row, since its attempt did not run. */
  #isReplaceable(context: CallContext, existing: VersionedRow): boolean {
    const { row } = existing;
    if (row.fingerprint !== context.fingerprint) {
      return false;
    }
    return row.state === CallRowState.NotRun ||
      (row.state === CallRowState.Running && this.#unsent.has(row.attempt));
  }

  async #resolveExisting(
    context: CallContext,
    existing: VersionedRow,
  ): Promise<CallOutcome> {
    const { row } = existing;
    if (row.fingerprint !== context.fingerprint) {
      const error = new KeyError(KeyErrorKind.Mismatch, context.call.key);
      return { result: err(error), final: false };
    }
    const recorded = await this.#findRecordedResult(context, row);
    if (recorded !== undefined) {
      return { result: recorded, final: false };
    }
    if (!context.call.forwarded && row.owner.vm !== this.#options.owner.vm) {
      const forwarded = await this.#forwardToOwner(context, row.owner.vm);
      if (forwarded !== undefined) {
        return { result: forwarded, final: false };
      }
    }
    return await this.#pollRow(context, row);
  }

  /** Finds the result that the row records; undefined when it records none. */
  async #findRecordedResult(
    context: CallContext,
    row: CallRow,
  ): Promise<KeyedCallResult | undefined> {
    switch (row.state) {
      case CallRowState.Expired:
        return err(new KeyError(KeyErrorKind.Expired, context.call.key));
      case CallRowState.Unknown:
        return createReplayedResult(
          createUnknown("the call's outcome is not known"),
        );
      case CallRowState.NotRun:
      case CallRowState.Running:
        return undefined;
      case CallRowState.Answered: {
        const answer = await this.#options.results.read(row, this.#signal);
        return answer === undefined ? undefined : createReplayedResult(answer);
      }
    }
  }

  async #forwardToOwner(
    context: CallContext,
    owner: VmId,
  ): Promise<KeyedCallResult | undefined> {
    const { forwarder } = this.#options;
    const result = await forwarder.forward(context.call, owner, this.#signal);
    const isUnknown = result.isOk() &&
      result.value.execution.kind === ExecutionKind.Unknown;
    return isUnknown ? undefined : result;
  }

  /**
   * Polls the row for a limited time: its owner may be able to reach the table,
   * but not this VM.
   */
  async #pollRow(context: CallContext, initial: CallRow): Promise<CallOutcome> {
    const { clock, random, claims, owner } = this.#options;
    const endsAt = clock.now() + this.#options.pollMilliseconds;
    const isOwn = initial.owner.vm === owner.vm;
    for (let attempt = 0; clock.now() < endsAt && !isOwn; attempt++) {
      const delay = computeBackoff(attempt, { ...POLL_BACKOFF, random });
      await clock.sleep(delay, this.#signal);
      if (this.#signal.aborted) {
        break;
      }
      const found = await claims.read(context.rowKey, this.#signal);
      const row = found.isOk() ? found.value?.row : undefined;
      const recorded = row === undefined
        ? undefined
        : await this.#findRecordedResult(context, row);
      if (recorded !== undefined) {
        return { result: recorded, final: false };
      }
    }
    return createProvisionalOutcome(
      `the VM "${initial.owner.vm}", which owns the call, has not reported its result`,
    );
  }

  /** Evicts the oldest attempts beyond the limit; their outcome is then unknown. */
  #addUnsent(attempt: AttemptId): void {
    this.#unsent.add(attempt);
    for (const oldest of this.#unsent) {
      if (this.#unsent.size <= MAXIMUM_UNSENT_ATTEMPTS) {
        return;
      }
      this.#unsent.delete(oldest);
    }
  }

  #addPendingRecord(recorded: Promise<boolean>): void {
    const pending = recorded.then(() => {
      this.#pendingRecords.delete(pending);
    });
    this.#pendingRecords.add(pending);
  }
}

function createReplayedResult(execution: Execution): KeyedCallResult {
  return ok({ execution, replayed: true });
}

/** Creates an unknown outcome that a later retry may replace by a known one. */
function createProvisionalOutcome(reason: string): CallOutcome {
  const execution = createUnknown(reason);
  return { result: ok({ execution, replayed: false }), final: false };
}

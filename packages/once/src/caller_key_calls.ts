/** Calls with callers' own keys, guarded by rows of the platform's table. */

import {
  type Clock,
  computeBackoff,
  type RandomSource,
} from "@rattanvane/base";
import type { AttemptId, VmId } from "@rattanvane/protocol";
import { err, ok } from "neverthrow";
import type { CallEnd } from "./call_registry.ts";
import {
  type CallerKey,
  type CallerKeyTimes,
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
import { ClaimKind, type ReadRow, type RowClaims } from "./row_claim.ts";

const MOST_CLAIMS = 4;
const MOST_UNSENT_ATTEMPTS = 10_000;
const POLL_BACKOFF = { initialMilliseconds: 250, maximumMilliseconds: 2_000 };

/** What calls with callers' keys work with. */
export interface CallerKeyCallsOptions {
  owner: RowOwner;
  claims: RowClaims;
  recorder: ResultRecorder;
  results: ResultStore;
  forwarder: CallForwarder;
  clock: Clock;
  random: RandomSource;
  times: CallerKeyTimes;
  /** How long a repeat watches the row of a call that runs elsewhere. */
  pollMilliseconds: number;
  /** The longest time from the check of a key to the start of its attempt. */
  startLimitMilliseconds: number;
}

/** A call with everything that its rounds need. */
interface CallContext {
  call: KeyedCall;
  execute: Execute;
  rowKey: string;
  fingerprint: string;
  callerKey: CallerKey;
  /** When the key was checked, by both clocks: each may stand still. */
  checkedAt: { now: number; wallTime: number };
}

/** Runs a caller's key once in the fleet, or finds out what became of it. */
export class CallerKeyCalls {
  readonly #options: CallerKeyCallsOptions;
  readonly #signal: AbortSignal;
  /** Attempts of this process that have a row, but never left. */
  readonly #unsent = new Set<AttemptId>();
  readonly #recording = new Set<Promise<void>>();
  #attempts = 0;

  constructor(options: CallerKeyCallsOptions, signal: AbortSignal) {
    this.#options = options;
    this.#signal = signal;
  }

  /** Runs the call, or joins or replays it; one at a time for each key. */
  async run(call: KeyedCall, execute: Execute): Promise<CallEnd> {
    const { times, clock } = this.#options;
    const wallTime = clock.wallTime();
    const callerKey = validateCallerKey(call.key, { times, wallTime });
    if (callerKey.isErr()) {
      return { result: err(callerKey.error), final: false };
    }
    return await this.#runClaims({
      call,
      execute,
      rowKey: formatRowKey(call.organisation, call.key),
      fingerprint: hashCall(call),
      callerKey: callerKey.value,
      checkedAt: { now: clock.now(), wallTime },
    });
  }

  /** Waits until the ends of all calls so far are recorded or given up. */
  async settle(): Promise<void> {
    await Promise.all(this.#recording);
  }

  async #runClaims(context: CallContext): Promise<CallEnd> {
    let replacedVersion: number | undefined;
    for (let round = 0; round < MOST_CLAIMS; round++) {
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
          return createPassingEnd(
            `the platform's table could not be asked: ${claim.reason}; ` +
              "this call was not sent, but an earlier one may have been",
          );
        case ClaimKind.Taken:
          if (!this.#mayReplace(context, claim.read)) {
            return await this.#resolveTaken(context, claim.read);
          }
          replacedVersion = claim.read.version;
      }
    }
    return createPassingEnd("other calls of this key went first every time");
  }

  #createRow(context: CallContext): CallRow {
    const { owner } = this.#options;
    this.#attempts++;
    return {
      state: CallRowState.Running,
      attempt: `${owner.vm}-${owner.incarnation}-${this.#attempts}`,
      owner,
      fingerprint: context.fingerprint,
      removableAt: context.callerKey.removableAt,
    };
  }

  async #runOwned(
    context: CallContext,
    owned: { row: CallRow; version: number },
  ): Promise<CallEnd> {
    const { row, version } = owned;
    if (this.#isLate(context)) {
      this.#addUnsent(row.attempt);
      return createPassingEnd(
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
    this.#addRecording(recorded);
    const final = execution.kind !== ExecutionKind.NotRun;
    return { result: ok({ execution, replayed: false }), final };
  }

  /**
   * Whether so much time has passed since the key was checked that its row may
   * have been removed after a first run: the row that this process then took
   * would say nothing of it.
   */
  #isLate(context: CallContext): boolean {
    const { clock, startLimitMilliseconds } = this.#options;
    const { now, wallTime } = context.checkedAt;
    const passed = Math.max(clock.now() - now, clock.wallTime() - wallTime);
    return passed > startLimitMilliseconds;
  }

  /** A row whose attempt did not run may be taken by a new attempt. */
  #mayReplace(context: CallContext, read: ReadRow): boolean {
    const { row } = read;
    if (row.fingerprint !== context.fingerprint) {
      return false;
    }
    return row.state === CallRowState.NotRun ||
      (row.state === CallRowState.Running && this.#unsent.has(row.attempt));
  }

  async #resolveTaken(context: CallContext, read: ReadRow): Promise<CallEnd> {
    const { row } = read;
    if (row.fingerprint !== context.fingerprint) {
      const error = new KeyError(KeyErrorKind.Mismatch, context.call.key);
      return { result: err(error), final: false };
    }
    const ended = await this.#findEnd(context, row);
    if (ended !== undefined) {
      return { result: ended, final: false };
    }
    if (!context.call.forwarded && row.owner.vm !== this.#options.owner.vm) {
      const answer = await this.#askOwner(context, row.owner.vm);
      if (answer !== undefined) {
        return { result: answer, final: false };
      }
    }
    return await this.#pollRow(context, row);
  }

  /** The result that a row tells by itself; undefined when it tells none. */
  async #findEnd(
    context: CallContext,
    row: CallRow,
  ): Promise<KeyedCallResult | undefined> {
    switch (row.state) {
      case CallRowState.Expired:
        return err(new KeyError(KeyErrorKind.Expired, context.call.key));
      case CallRowState.Unknown:
        return createReplay(createUnknown("the call's outcome is not known"));
      case CallRowState.NotRun:
      case CallRowState.Running:
        return undefined;
      case CallRowState.Answered: {
        const answer = await this.#options.results.read(row, this.#signal);
        return answer === undefined ? undefined : createReplay(answer);
      }
    }
  }

  async #askOwner(
    context: CallContext,
    owner: VmId,
  ): Promise<KeyedCallResult | undefined> {
    const { forwarder } = this.#options;
    const result = await forwarder.forward(context.call, owner, this.#signal);
    const isUnknown = result.isOk() &&
      result.value.execution.kind === ExecutionKind.Unknown;
    return isUnknown ? undefined : result;
  }

  /** Watches a row for a while; its owner may reach the table, but not us. */
  async #pollRow(context: CallContext, first: CallRow): Promise<CallEnd> {
    const { clock, random, claims, owner } = this.#options;
    const endsAt = clock.now() + this.#options.pollMilliseconds;
    const isOwn = first.owner.vm === owner.vm;
    for (let attempt = 0; clock.now() < endsAt && !isOwn; attempt++) {
      const delay = computeBackoff(attempt, { ...POLL_BACKOFF, random });
      await clock.sleep(delay, this.#signal);
      if (this.#signal.aborted) {
        break;
      }
      const found = await claims.read(context.rowKey, this.#signal);
      const row = found.isOk() ? found.value?.row : undefined;
      const ended = row === undefined
        ? undefined
        : await this.#findEnd(context, row);
      if (ended !== undefined) {
        return { result: ended, final: false };
      }
    }
    return createPassingEnd(
      `the VM "${first.owner.vm}" that took the call does not tell its end`,
    );
  }

  /** Forgets the oldest beyond the limit: their outcome is then unknown. */
  #addUnsent(attempt: AttemptId): void {
    this.#unsent.add(attempt);
    for (const oldest of this.#unsent) {
      if (this.#unsent.size <= MOST_UNSENT_ATTEMPTS) {
        return;
      }
      this.#unsent.delete(oldest);
    }
  }

  #addRecording(recorded: Promise<boolean>): void {
    const recording = recorded.then(() => {
      this.#recording.delete(recording);
    });
    this.#recording.add(recording);
  }
}

function createReplay(execution: Execution): KeyedCallResult {
  return ok({ execution, replayed: true });
}

/** An outcome that a later repeat may improve on. */
function createPassingEnd(reason: string): CallEnd {
  const execution = createUnknown(reason);
  return { result: ok({ execution, replayed: false }), final: false };
}

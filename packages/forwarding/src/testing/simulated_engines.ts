/** Engines that crash when they begin to respond to a part of a prompt. */

import type { Clock } from "@rattanvane/base";
import type { AttemptGrant } from "../admission/admission.ts";
import type { ForwardedCall } from "../model/call.ts";
import { OutcomeKind } from "../model/attempt_outcome.ts";
import type { MemoryFeed } from "./memory_feed.ts";
import { buildCall, buildEndpoint, NO_RESTRICTIONS } from "./fixtures.ts";
import type { SimulatedVm } from "./simulated_fleet.ts";

const PREFILL_MILLISECONDS = 80;
const RESPONSE_MILLISECONDS = 1_500;
const RESTART_MILLISECONDS = 3_000;

/** A request that reached an engine, or was refused. */
export interface SimulatedResult {
  parts: readonly string[];
  submittedAt: number;
  /** Undefined for a refused request. */
  outcome: OutcomeKind | undefined;
}

interface RunningAttempt {
  grant: AttemptGrant;
  firstMilliseconds: number | undefined;
  end: (outcome: OutcomeKind) => void;
}

/** The engines of a fleet, with what runs at each of them. */
export class SimulatedEngines {
  readonly results: SimulatedResult[] = [];
  /** When engines crashed. */
  readonly crashTimes: number[] = [];
  readonly #clock: Clock;
  readonly #store: MemoryFeed;
  readonly #deadlyPart: string;
  readonly #running = new Map<string, Set<RunningAttempt>>();
  readonly #downUntil = new Map<string, number>();
  #sequence = 0;

  constructor(clock: Clock, store: MemoryFeed, deadlyPart: string) {
    this.#clock = clock;
    this.#store = store;
    this.#deadlyPart = deadlyPart;
  }

  /** Submits a request at a VM with these shared parts and one of its own. */
  async submit(vm: SimulatedVm, parts: readonly string[]): Promise<void> {
    const { signal } = vm.lifetime;
    this.#sequence++;
    const own = `own-${this.#sequence}`;
    const call = buildCall(vm.clock.now(), {
      fingerprint: own,
      prompt: {
        tokens: 100,
        outputTokens: 10,
        parts: [...parts, own].map((id) => ({ id, tokens: 50 })),
      },
    });
    const result: SimulatedResult = {
      parts,
      submittedAt: this.#clock.now(),
      outcome: undefined,
    };
    this.results.push(result);
    for (let attempt = 0; attempt < call.route.attempts; attempt++) {
      const { grant } = await vm.fleet.admission.submit(
        {
          call,
          ...NO_RESTRICTIONS,
          isRepeated: attempt > 0,
        },
        signal,
      );
      if (grant === undefined) {
        return;
      }
      result.outcome = await this.#run(grant, call, signal);
      if (result.outcome === OutcomeKind.Answered) {
        return;
      }
    }
  }

  async #run(
    grant: AttemptGrant,
    call: ForwardedCall,
    signal: AbortSignal,
  ): Promise<OutcomeKind> {
    const { id } = grant.endpoint;
    if (this.#clock.now() < (this.#downUntil.get(id) ?? -Infinity)) {
      sendReport(grant, OutcomeKind.NotSent);
      return OutcomeKind.NotSent;
    }
    return await new Promise((resolve) => {
      const running: RunningAttempt = {
        grant,
        firstMilliseconds: undefined,
        end: resolve,
      };
      const attempts = this.#running.get(id) ?? new Set();
      this.#running.set(id, attempts.add(running));
      void this.#respond(id, { running, call }, signal);
    });
  }

  async #respond(
    endpoint: string,
    { running, call }: { running: RunningAttempt; call: ForwardedCall },
    signal: AbortSignal,
  ): Promise<void> {
    const attempts = this.#running.get(endpoint);
    await this.#clock.sleep(PREFILL_MILLISECONDS, signal);
    const { prompt } = call.identity;
    if (attempts?.has(running) !== true) {
      return;
    }
    if (prompt?.parts.some(({ id }) => id === this.#deadlyPart) === true) {
      this.#crash(endpoint);
      return;
    }
    running.firstMilliseconds = PREFILL_MILLISECONDS;
    running.grant.recordAnswerStart();
    await this.#clock.sleep(RESPONSE_MILLISECONDS, signal);
    if (attempts.delete(running)) {
      sendReport(running.grant, OutcomeKind.Answered, PREFILL_MILLISECONDS);
      running.end(OutcomeKind.Answered);
    }
  }

  #crash(endpoint: string): void {
    const now = this.#clock.now();
    this.crashTimes.push(now);
    this.#downUntil.set(endpoint, now + RESTART_MILLISECONDS);
    const lost = [...this.#running.get(endpoint) ?? []];
    this.#running.get(endpoint)?.clear();
    for (const { grant, firstMilliseconds, end } of lost) {
      const outcome = firstMilliseconds === undefined
        ? OutcomeKind.Broken
        : OutcomeKind.StreamBroken;
      sendReport(grant, outcome, firstMilliseconds);
      end(outcome);
    }
    void this.#restart(endpoint, lost[0]?.grant.endpoint.zone ?? "");
  }

  async #restart(endpoint: string, zone: string): Promise<void> {
    await this.#clock.sleep(
      RESTART_MILLISECONDS,
      new AbortController().signal,
    );
    const startedAtUnixMilliseconds = this.#clock.now();
    const record = buildEndpoint(endpoint, { zone, startedAtUnixMilliseconds });
    this.#store.put("endpoints", endpoint, record);
  }
}

function sendReport(
  grant: AttemptGrant,
  kind: OutcomeKind,
  firstMilliseconds?: number,
): void {
  grant.recordEnd({
    kind,
    isConnectionRefused: kind === OutcomeKind.NotSent,
    firstMilliseconds,
    longestPauseMilliseconds: 0,
  });
}

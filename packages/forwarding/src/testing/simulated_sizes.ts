/** Requests of very different sizes that compete for the engines of a fleet. */

import { createLifetime, ManualClock, RandomSource } from "@rattanvane/base";
import {
  computeCost,
  type Prompt,
  type SchedulableCall,
} from "../model/call.ts";
import type { Grant } from "../scheduling/service_scheduler.ts";
import { buildCall, buildRoute, NO_RESTRICTIONS } from "./fixtures.ts";
import {
  PREFILL_TOKENS_PER_MILLISECOND,
  SimulatedBatch,
  type StreamTimes,
} from "./simulated_batches.ts";
import {
  type SimulatedScheduler,
  SimulatedSchedulers,
} from "./simulated_schedulers.ts";

const SCHEDULERS = 10;
const ENGINES = 42;
const SLOTS = 64;
const COST_PER_SECOND = 1_300_000;
const PAUSE_MILLISECONDS = 500;
const SECOND = 1_000;
/** The longest time-out of a kind, and of its caller's second try. */
const SETTLING_MILLISECONDS = 20_000;

/** A kind of request; its own part has a log-normal size. */
export interface SimulatedKind {
  name: string;
  requestsPerSecond: number;
  sessions: number;
  sharedTokens: number;
  medianTokens: number;
  spread: number;
  maxTokens: number;
  outputTokens: number;
  objectiveMilliseconds: number;
  timeoutMilliseconds: number;
}

/** What became of one request. */
export interface SimulatedRequest {
  kind: string;
  organisation: string;
  sentAt: number;
  cost: number;
  /** Whether its stream was complete before its time-out. */
  isServed: boolean;
  /** Whether it was served within its objective and without a long pause. */
  isInTime: boolean;
  isLong: boolean;
  refusals: number;
}

/** What differs from the usual fleet. */
export interface SimulatedSizesOptions {
  keepsPlaces?: boolean;
  /** The configured cost units a second, whatever the engines can do. */
  costPerSecond?: number;
}

type SimulatedCall = SchedulableCall & { identity: { prompt: Prompt } };

/** Ten schedulers, 42 engines and organisations that send many requests. */
export class SimulatedSizes {
  readonly clock = new ManualClock(0.5);
  readonly #lifetime = createLifetime();
  readonly #demand = createLifetime();
  readonly #random: RandomSource;
  readonly #schedulers: SimulatedSchedulers;
  readonly #engines = new Map<string, SimulatedBatch>();
  readonly #requests: SimulatedRequest[] = [];
  #sequence = 0;

  constructor(seed: number, options: SimulatedSizesOptions = {}) {
    this.#random = new RandomSource(seed);
    this.#schedulers = new SimulatedSchedulers({
      schedulers: SCHEDULERS,
      engines: ENGINES,
      slots: SLOTS,
      prefillTokensPerMillisecond: PREFILL_TOKENS_PER_MILLISECOND,
      costPerSecond: COST_PER_SECOND,
      ...options,
    }, {
      clock: this.clock,
      random: this.#random,
      signal: this.#lifetime.signal,
    });
  }

  /**
   * Starts the requests of all kinds, divided among organisations by weights.
   */
  start(kinds: readonly SimulatedKind[], weights: readonly number[]): void {
    void this.#schedulers.run();
    const sum = weights.reduce((total, weight) => total + weight, 0);
    for (const kind of kinds) {
      for (const [index, weight] of weights.entries()) {
        void this.#send(kind, {
          organisation: `organisation-${index}`,
          requestsPerSecond: kind.requestsPerSecond * weight / sum,
        });
      }
    }
  }

  /** Sends no more requests; resolves when the last ones have ended. */
  async settle(): Promise<void> {
    this.#demand.abort();
    await this.clock.advance(SETTLING_MILLISECONDS);
    this.#lifetime.abort();
  }

  /** Lists the requests that were sent between two times of the clock. */
  listRequests(from: number, to: number): SimulatedRequest[] {
    return this.#requests.filter(({ sentAt }) => sentAt >= from && sentAt < to);
  }

  async #send(
    kind: SimulatedKind,
    { organisation, requestsPerSecond }: {
      organisation: string;
      requestsPerSecond: number;
    },
  ): Promise<void> {
    const { signal } = this.#demand;
    const pause = SECOND / requestsPerSecond;
    while (!signal.aborted) {
      await this.clock.sleep(pause * 2 * this.#random.nextFraction(), signal);
      if (!signal.aborted) {
        void this.#serve(kind, organisation);
      }
    }
  }

  async #serve(kind: SimulatedKind, organisation: string): Promise<void> {
    const { signal } = this.#lifetime;
    const prompt = this.#buildPrompt(kind, organisation);
    const built = buildCall(this.clock.now(), {
      organisation,
      route: buildRoute({
        objectiveMilliseconds: kind.objectiveMilliseconds,
        pauseMilliseconds: PAUSE_MILLISECONDS,
        timeoutMilliseconds: kind.timeoutMilliseconds,
      }),
    });
    const call = { ...built, identity: { ...built.identity, prompt } };
    const result: SimulatedRequest = {
      kind: kind.name,
      organisation,
      sentAt: this.clock.now(),
      cost: computeCost(call),
      isServed: false,
      isInTime: false,
      isLong: false,
      refusals: 0,
    };
    this.#requests.push(result);
    // A refused caller comes back once.
    for (let attempt = 0; attempt < 2 && !signal.aborted; attempt++) {
      const vm = this.#pickScheduler();
      vm.shares.recordAsked(organisation, computeCost(call));
      const { grant, refusal } = await vm.scheduler.submit(
        { ...call, fingerprint: kind.name, receivedAt: this.clock.now() },
        NO_RESTRICTIONS,
        signal,
      );
      if (grant !== undefined) {
        result.isLong = grant.choice.isLong;
        const grantedAt = this.clock.now();
        const times = await this.#run(vm, grant, call);
        const firstAt = grantedAt - result.sentAt + times.firstMilliseconds;
        result.isServed = times.isComplete;
        result.isInTime = times.isComplete &&
          firstAt <= kind.objectiveMilliseconds &&
          times.longestPauseMilliseconds <= PAUSE_MILLISECONDS;
        return;
      }
      result.refusals++;
      const left = call.deadlineAt - this.clock.now();
      await this.clock.sleep(
        Math.min(refusal.retryAfterMilliseconds, left / 3),
        signal,
      );
    }
  }

  async #run(
    { scheduler, model }: SimulatedScheduler,
    grant: Grant,
    { identity: { prompt }, deadlineAt }: SimulatedCall,
  ): Promise<StreamTimes> {
    const { endpoint, choice } = grant;
    const { id } = endpoint.record;
    const engine = this.#engines.get(id) ?? new SimulatedBatch(this.clock);
    this.#engines.set(id, engine);
    const times = await engine.run({
      prompt,
      deadlineAt,
      onFirstEvent: () => scheduler.markResponding(grant),
    });
    scheduler.recordPause(grant, {
      longestMilliseconds: times.longestPauseMilliseconds,
      allowedMilliseconds: PAUSE_MILLISECONDS,
    });
    model.addSample(choice.totalWork, times.firstMilliseconds);
    endpoint.recordPace(
      times.firstMilliseconds * endpoint.pace /
        Math.max(1, choice.predictedMilliseconds),
    );
    scheduler.release(grant);
    return times;
  }

  #pickScheduler(): SimulatedScheduler {
    return this.#schedulers.find(this.#random.nextInteger(0, SCHEDULERS - 1));
  }

  #buildPrompt(kind: SimulatedKind, organisation: string): Prompt {
    const session = this.#random.nextInteger(1, kind.sessions);
    const tokens = Math.min(
      kind.maxTokens,
      Math.round(
        kind.medianTokens * Math.exp(kind.spread * this.#drawNormal()),
      ),
    );
    return {
      tokens: kind.sharedTokens + tokens,
      outputTokens: kind.outputTokens,
      parts: [
        {
          id: `${kind.name}-${organisation}-${session}`,
          tokens: kind.sharedTokens,
        },
        { id: `own-${++this.#sequence}`, tokens },
      ],
    };
  }

  #drawNormal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.#random.nextFraction()));
    return radius * Math.cos(2 * Math.PI * this.#random.nextFraction());
  }
}

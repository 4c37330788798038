/** Organisations that compete for the engines of several schedulers. */

import { createLifetime, ManualClock, RandomSource } from "@rattanvane/base";
import type { Prompt } from "../model/call.ts";
import { computeCost } from "../model/call.ts";
import type {
  Grant,
  ServiceScheduler,
} from "../scheduling/service_scheduler.ts";
import { buildCall, NO_RESTRICTIONS } from "./fixtures.ts";
import {
  SimulatedSchedulers,
  type SimulatedSchedulersOptions,
} from "./simulated_schedulers.ts";

const FIRST_EVENT_MILLISECONDS = 60;
const PREFILL_TOKENS_PER_MILLISECOND = 140;
const STREAM_MILLISECONDS = 300;
const SHARED_TOKENS = 5_000;
const OWN_TOKENS = 1_000;
const OUTPUT_TOKENS = 200;
const SESSIONS_PER_ORGANISATION = 100;
const SECOND = 1_000;

/** The cost units of each request. */
export const REQUEST_COST = SHARED_TOKENS + OWN_TOKENS + 2 * OUTPUT_TOKENS;

/** What one organisation sends. */
export interface SimulatedDemand {
  organisation: string;
  requestsPerSecond: number;
  /** The numbers of the schedulers that its requests reach, in turn. */
  schedulers: readonly number[];
}

/** The schedulers, and the seed of the demands. */
export interface SimulatedSharesOptions
  extends Omit<SimulatedSchedulersOptions, "prefillTokensPerMillisecond"> {
  seed: number;
}

/** What an organisation asked for and was granted, in requests. */
export interface SimulatedUse {
  asked: number;
  granted: number;
}

/** Schedulers that exchange their state and share engines. */
export class SimulatedShares {
  readonly clock = new ManualClock(1);
  readonly #lifetime = createLifetime();
  readonly #random: RandomSource;
  /** Whether refused callers return once. */
  readonly #areReturning: boolean;
  readonly #schedulers: SimulatedSchedulers;
  readonly #uses = new Map<string, SimulatedUse>();
  /** When the prefill of each engine is idle again. */
  readonly #prefillEndsAt = new Map<string, number>();
  #sequence = 0;

  constructor(options: SimulatedSharesOptions) {
    this.#random = new RandomSource(options.seed);
    this.#areReturning = options.keepsPlaces === true;
    this.#schedulers = new SimulatedSchedulers(
      {
        ...options,
        prefillTokensPerMillisecond: PREFILL_TOKENS_PER_MILLISECOND,
      },
      {
        clock: this.clock,
        random: this.#random,
        signal: this.#lifetime.signal,
      },
    );
  }

  /** Starts the exchange between the schedulers and the demands. */
  start(demands: readonly SimulatedDemand[]): void {
    void this.#schedulers.run();
    for (const demand of demands) {
      void this.#send(demand);
    }
  }

  /** Ends all demands. */
  stop(): void {
    this.#lifetime.abort();
  }

  /** Returns the uses since the last call, by organisation. */
  takeUses(): Map<string, SimulatedUse> {
    const uses = new Map(this.#uses);
    this.#uses.clear();
    return uses;
  }

  async #send(
    { organisation, requestsPerSecond, schedulers }: SimulatedDemand,
  ): Promise<void> {
    const { signal } = this.#lifetime;
    const pause = SECOND / requestsPerSecond;
    for (let sent = 0; !signal.aborted; sent++) {
      await this.clock.sleep(pause * 2 * this.#random.nextFraction(), signal);
      const index = schedulers[sent % schedulers.length] as number;
      void this.#submit(organisation, index);
    }
  }

  async #submit(organisation: string, index: number): Promise<void> {
    const { scheduler, shares } = this.#schedulers.find(index);
    const call = buildCall(this.clock.now(), {
      organisation,
      prompt: this.#buildPrompt(organisation),
    });
    const use = this.#uses.get(organisation) ?? { asked: 0, granted: 0 };
    this.#uses.set(organisation, use);
    use.asked++;
    const submit = (receivedAt: number) => {
      shares.recordAsked(organisation, computeCost(call));
      return scheduler.submit(
        { ...call, receivedAt },
        NO_RESTRICTIONS,
        this.#lifetime.signal,
      );
    };
    let { grant, refusal } = await submit(call.receivedAt);
    if (refusal !== undefined && this.#areReturning) {
      const { retryAfterMilliseconds } = refusal;
      await this.clock.sleep(retryAfterMilliseconds, this.#lifetime.signal);
      ({ grant, refusal } = await submit(this.clock.now()));
    }
    if (grant !== undefined) {
      use.granted++;
      await this.#run(scheduler, grant);
    }
  }

  async #run(scheduler: ServiceScheduler, grant: Grant): Promise<void> {
    const { signal } = this.#lifetime;
    const { id } = grant.endpoint.record;
    const now = this.clock.now();
    const endsAt = Math.max(now, this.#prefillEndsAt.get(id) ?? 0) +
      grant.choice.work.tokens / PREFILL_TOKENS_PER_MILLISECOND;
    this.#prefillEndsAt.set(id, endsAt);
    await this.clock.sleep(endsAt - now + FIRST_EVENT_MILLISECONDS, signal);
    scheduler.markResponding(grant);
    await this.clock.sleep(STREAM_MILLISECONDS, signal);
    scheduler.release(grant);
  }

  #buildPrompt(organisation: string): Prompt {
    const own = `own-${++this.#sequence}`;
    const session = this.#random.nextInteger(1, SESSIONS_PER_ORGANISATION);
    return {
      tokens: SHARED_TOKENS + OWN_TOKENS,
      outputTokens: OUTPUT_TOKENS,
      parts: [
        { id: `${organisation}-${session}`, tokens: SHARED_TOKENS },
        { id: own, tokens: OWN_TOKENS },
      ],
    };
  }
}

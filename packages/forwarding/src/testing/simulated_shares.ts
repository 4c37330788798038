/** Organisations that compete for the engines of several schedulers. */

import {
  createLifetime,
  createSilentLogger,
  ManualClock,
  RandomSource,
} from "@rattanvane/base";
import type { Prompt } from "../model/call.ts";
import { computeCost } from "../model/call.ts";
import { EngineChooser } from "../scheduling/engine_chooser.ts";
import { PrefillModel } from "../scheduling/prefill_model.ts";
import {
  type Grant,
  ServiceScheduler,
} from "../scheduling/service_scheduler.ts";
import { ShareMeter } from "../scheduling/share_meter.ts";
import {
  buildCall,
  buildEndpoint,
  buildService,
  NO_RESTRICTIONS,
} from "./fixtures.ts";

const EXCHANGE_MILLISECONDS = 125;
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

/** The engines, the schedulers and what is configured. */
export interface SimulatedSharesOptions {
  seed: number;
  schedulers: number;
  engines: number;
  slots: number;
  /** The configured cost units a second, whatever the engines can do. */
  costPerSecond: number;
}

/** What an organisation asked for and was granted, in requests. */
export interface SimulatedUse {
  asked: number;
  granted: number;
}

interface SimulatedScheduler {
  scheduler: ServiceScheduler;
  shares: ShareMeter;
}

/** Schedulers that exchange their state and share engines. */
export class SimulatedShares {
  readonly clock = new ManualClock(1);
  readonly #lifetime = createLifetime();
  readonly #random: RandomSource;
  readonly #schedulers: SimulatedScheduler[];
  readonly #uses = new Map<string, SimulatedUse>();
  /** When the prefill of each engine is idle again. */
  readonly #prefillEndsAt = new Map<string, number>();
  #sequence = 0;

  constructor(options: SimulatedSharesOptions) {
    this.#random = new RandomSource(options.seed);
    this.#schedulers = Array.from(
      { length: options.schedulers },
      () => this.#createScheduler(options),
    );
  }

  /** Starts the exchange between the schedulers and the demands. */
  start(demands: readonly SimulatedDemand[]): void {
    void this.#exchange();
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

  #createScheduler(options: SimulatedSharesOptions): SimulatedScheduler {
    const { clock } = this;
    const { slots } = options;
    const engine = { slots, memoryTokens: 400_000 };
    const shares = new ShareMeter({ clock, periodMilliseconds: 4_000 });
    shares.updateCapacity(options.costPerSecond);
    const scheduler = new ServiceScheduler({
      service: buildService({ engine }),
      chooser: new EngineChooser(
        engine,
        new PrefillModel(1 / PREFILL_TOKENS_PER_MILLISECOND),
      ),
      shares,
      clock,
      random: new RandomSource(this.#random.nextInteger(1, 1 << 30)),
      logger: createSilentLogger(),
      notifyPeers: () => {},
      coldBound: { coldMilliseconds: 3_000, arrivalsPerSecond: 30 },
      countVms: () => options.schedulers,
      signal: this.#lifetime.signal,
    });
    for (let index = 0; index < options.engines; index++) {
      scheduler.updateEndpoint(
        buildEndpoint(`engine-${index}`, { slots }),
        true,
      );
    }
    return { scheduler, shares };
  }

  async #exchange(): Promise<void> {
    const { signal } = this.#lifetime;
    while (!signal.aborted) {
      await this.clock.sleep(EXCHANGE_MILLISECONDS, signal);
      for (const [from, sender] of this.#schedulers.entries()) {
        const uses = new Map(
          [...sender.scheduler.listEndpoints()].flatMap((endpoint) => {
            const use = endpoint.buildLocalUse();
            return use === undefined ? [] : [[use.endpoint, use] as const];
          }),
        );
        const organisations = sender.shares.listLocal();
        for (const [to, receiver] of this.#schedulers.entries()) {
          if (to !== from) {
            receiver.scheduler.mergePeer(`vm-${from}`, uses);
            receiver.shares.mergePeer(`vm-${from}`, organisations);
          }
        }
      }
    }
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
    const { scheduler, shares } = this.#schedulers[index] as SimulatedScheduler;
    const call = buildCall(this.clock.now(), {
      organisation,
      prompt: this.#buildPrompt(organisation),
    });
    const use = this.#uses.get(organisation) ?? { asked: 0, granted: 0 };
    this.#uses.set(organisation, use);
    use.asked++;
    shares.recordAsked(organisation, computeCost(call));
    const { grant } = await scheduler.submit(
      call,
      NO_RESTRICTIONS,
      this.#lifetime.signal,
    );
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

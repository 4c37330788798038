/** Schedulers of one service that exchange their state. */

import { type Clock, createSilentLogger, RandomSource } from "@rattanvane/base";
import {
  DEFAULT_ENGINE_CHOOSER_SETTINGS,
  KEPT_PLACES_ENGINE_CHOOSER_SETTINGS,
} from "../scheduling/engine_chooser_settings.ts";
import { EngineChooser } from "../scheduling/engine_chooser.ts";
import { KeptPlaces } from "../scheduling/kept_places.ts";
import { LongPromptDemand } from "../scheduling/long_prompt_demand.ts";
import { PrefillModel } from "../scheduling/prefill_model.ts";
import { ServiceScheduler } from "../scheduling/service_scheduler.ts";
import { ShareMeter } from "../scheduling/share_meter.ts";
import { buildEndpoint, buildService } from "./fixtures.ts";

const EXCHANGE_MILLISECONDS = 125;
const SHARE_PERIOD_MILLISECONDS = 4_000;

/** The engines, the schedulers and what is configured. */
export interface SimulatedSchedulersOptions {
  schedulers: number;
  engines: number;
  slots: number;
  prefillTokensPerMillisecond: number;
  /** The configured cost units a second, whatever the engines can do. */
  costPerSecond: number;
  /** Whether refused callers have places that they return to. */
  keepsPlaces?: boolean;
}

/** One scheduler with what it knows of the others. */
export interface SimulatedScheduler {
  scheduler: ServiceScheduler;
  shares: ShareMeter;
  model: PrefillModel;
  places: KeptPlaces | undefined;
}

/** Schedulers that share the engines of one service. */
export class SimulatedSchedulers {
  readonly #clock: Clock;
  readonly #random: RandomSource;
  readonly #signal: AbortSignal;
  readonly #schedulers: SimulatedScheduler[];

  constructor(
    options: SimulatedSchedulersOptions,
    dependencies: { clock: Clock; random: RandomSource; signal: AbortSignal },
  ) {
    this.#clock = dependencies.clock;
    this.#random = dependencies.random;
    this.#signal = dependencies.signal;
    this.#schedulers = Array.from(
      { length: options.schedulers },
      (_, index) => this.#createScheduler(index, options),
    );
  }

  /** Finds the scheduler with this number, the first one being 0. */
  find(index: number): SimulatedScheduler {
    return this.#schedulers[index] as SimulatedScheduler;
  }

  /** Exchanges the state of all schedulers until the signal aborts. */
  async run(): Promise<void> {
    while (!this.#signal.aborted) {
      await this.#clock.sleep(EXCHANGE_MILLISECONDS, this.#signal);
      for (const index of this.#schedulers.keys()) {
        this.#sendState(index);
      }
    }
  }

  #createScheduler(
    index: number,
    options: SimulatedSchedulersOptions,
  ): SimulatedScheduler {
    const clock = this.#clock;
    const { slots } = options;
    const engine = { slots, memoryTokens: 400_000 };
    const shares = new ShareMeter({
      clock,
      periodMilliseconds: SHARE_PERIOD_MILLISECONDS,
    });
    shares.updateCapacity(options.costPerSecond);
    const model = new PrefillModel(1 / options.prefillTokensPerMillisecond);
    const places = options.keepsPlaces === true
      ? new KeptPlaces({ clock, recordEvent: () => {} })
      : undefined;
    const settings = places === undefined
      ? DEFAULT_ENGINE_CHOOSER_SETTINGS
      : KEPT_PLACES_ENGINE_CHOOSER_SETTINGS;
    const scheduler = new ServiceScheduler({
      service: buildService({ engine }),
      chooser: new EngineChooser(engine, model, {
        demand: new LongPromptDemand(clock, settings.otherEnginesFactor),
        settings,
      }),
      shares,
      clock,
      random: new RandomSource(this.#random.nextInteger(1, 1 << 30)),
      logger: createSilentLogger(),
      notifyPeers: () => this.#sendState(index),
      coldBound: { coldMilliseconds: 3_000, arrivalsPerSecond: 30 },
      countVms: () => options.schedulers,
      places,
      signal: this.#signal,
    });
    for (let engineIndex = 0; engineIndex < options.engines; engineIndex++) {
      scheduler.updateEndpoint(
        buildEndpoint(`engine-${engineIndex}`, { slots }),
        true,
      );
    }
    return { scheduler, shares, model, places };
  }

  #sendState(from: number): void {
    const { scheduler, shares, places } = this.find(from);
    const uses = new Map(
      [...scheduler.listEndpoints()].flatMap((endpoint) => {
        const use = endpoint.buildLocalUse();
        return use === undefined ? [] : [[use.endpoint, use] as const];
      }),
    );
    const organisations = shares.listLocal();
    const kept = places?.takeUnsent() ?? [];
    for (const [to, receiver] of this.#schedulers.entries()) {
      if (to !== from) {
        receiver.scheduler.mergePeer(`vm-${from}`, uses);
        receiver.shares.mergePeer(`vm-${from}`, organisations);
        receiver.places?.merge(kept);
      }
    }
  }
}

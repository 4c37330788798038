/** The engine stand-in without its HTTP face. */

import { type Clock, Emitter, type Logger } from "@rattanvane/base";
import { LaggingLoad } from "../common/lagging_load.ts";
import { Batch } from "./batch.ts";
import {
  createEngineCounters,
  type EngineCounters,
} from "./engine_counters.ts";
import { computeCapacity, type EngineOptions } from "./engine_options.ts";
import {
  Generation,
  type GenerationRequest,
  GenerationState,
} from "./generation.ts";
import { OrderBook } from "./order_book.ts";
import { PrefixCache } from "./prefix_cache.ts";

const STREAM_HOLD_MILLISECONDS = 10_000;

/** Why an engine goes down. */
export enum CrashCause {
  /** It got more requests than it bore at that time. */
  Overload = "overload",
  /** A prompt held the crash marker. */
  Marker = "marker",
  /** A test asked for it. */
  Admin = "admin",
  /** A test asked for a planned restart. */
  Restart = "restart",
}

/** What an engine has in memory from one start to the next. */
interface Boot {
  id: string;
  startedAt: number;
  batch: Batch;
  cache: PrefixCache;
  load: LaggingLoad;
  orders: OrderBook;
  /** Attempts that run, or whose streams are held. */
  generations: Map<string, Generation>;
  end: AbortController;
}

/** What an engine needs besides its settings. */
export interface EngineContext {
  clock: Clock;
  logger: Logger;
}

/** Generates answers in a continuous batch, and crashes when overloaded. */
export class Engine {
  readonly options: EngineOptions;
  /** Tells that the engine has lost its memory and its connections. */
  readonly crashed = new Emitter<CrashCause>();
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #counters = createEngineCounters();
  #boots = 0;
  #boot: Boot;

  constructor(options: EngineOptions, context: EngineContext) {
    this.options = options;
    this.#clock = context.clock;
    this.#logger = context.logger;
    this.#boot = this.#createBoot();
  }

  /** Changes with each start. */
  get bootId(): string {
    return this.#boot.id;
  }

  /** Milliseconds since the last start. */
  get uptimeMilliseconds(): number {
    return Math.round(this.#clock.now() - this.#boot.startedAt);
  }

  get cache(): PrefixCache {
    return this.#boot.cache;
  }

  get load(): LaggingLoad {
    return this.#boot.load;
  }

  get orders(): OrderBook {
    return this.#boot.orders;
  }

  /** Counts over all boots so far. */
  get counters(): EngineCounters {
    const slotMilliseconds = this.#counters.slotMilliseconds +
      this.#boot.batch.slotMilliseconds;
    return { ...this.#counters, slotMilliseconds };
  }

  /** Whether an attempt runs or its stream is held. */
  find(attempt: string): Generation | undefined {
    return this.#boot.generations.get(attempt);
  }

  /** The attempts that run or whose streams are held. */
  list(): Generation[] {
    return [...this.#boot.generations.values()];
  }

  /**
   * Admits a request as it comes. Returns undefined when it was one more than
   * the engine bears: it has crashed then.
   */
  submit(
    request: GenerationRequest,
    prefixText: string,
  ): Generation | undefined {
    const boot = this.#boot;
    const capacity = computeCapacity(this.uptimeMilliseconds, this.options);
    if (boot.batch.size >= capacity) {
      this.#counters.overloads++;
      this.crash(CrashCause.Overload);
      return undefined;
    }
    const hit = boot.cache.use(prefixText);
    const generation = new Generation(request, this.#computeFirstToken(hit));
    this.#counters.started++;
    this.#counters.cacheHits += hit ? 1 : 0;
    boot.generations.set(request.attempt, generation);
    boot.batch.add(generation);
    void this.#countEnd(generation);
    return generation;
  }

  /** Stops an attempt and forgets it; returns whether it was known. */
  cancel(attempt: string): boolean {
    const generation = this.#boot.generations.get(attempt);
    if (generation === undefined) {
      return false;
    }
    this.#boot.batch.remove(generation, GenerationState.Cancelled);
    this.#boot.generations.delete(attempt);
    return true;
  }

  /** Forgets a stream after a while, unless `signal` ends the wait. */
  async hold(attempt: string, signal: AbortSignal): Promise<void> {
    const boot = this.#boot;
    const either = AbortSignal.any([signal, boot.end.signal]);
    await this.#clock.sleep(STREAM_HOLD_MILLISECONDS, either);
    if (!either.aborted) {
      this.cancel(attempt);
    }
  }

  /** Loses all memory at once; the next boot begins cold. */
  crash(cause: CrashCause): void {
    const boot = this.#boot;
    const running = boot.batch.size;
    this.#logger.warn("engine went down", { cause, running });
    if (cause === CrashCause.Restart) {
      this.#counters.restarts++;
    } else {
      this.#counters.crashes++;
    }
    this.#counters.lost += boot.batch.clear(GenerationState.Crashed);
    this.#counters.slotMilliseconds += boot.batch.slotMilliseconds;
    boot.end.abort();
    this.#boot = this.#createBoot();
    this.crashed.emit(cause);
  }

  /** Begins a new boot; called when connections are accepted again. */
  start(): void {
    this.#boot.end.abort();
    this.#boot = this.#createBoot();
  }

  /** Ends all tasks of the engine. */
  stop(): void {
    this.#boot.end.abort();
  }

  #createBoot(): Boot {
    this.#boots++;
    const clock = this.#clock;
    const options = this.options;
    const end = new AbortController();
    const load = new LaggingLoad(options.loadLagMilliseconds, clock);
    const batch = new Batch({
      clock,
      tokenMilliseconds: options.tokenMilliseconds,
      onChange: (running) => this.#recordRunning(load, running),
      onToken: (generation) => this.#recordToken(generation),
    }, end.signal);
    const cache = new PrefixCache({
      clock,
      maximumPrefixes: options.cachePrefixes,
      eventLagMilliseconds: options.cacheEventLagMilliseconds,
      eventLoss: options.cacheEventLoss,
      seed: options.seed,
    });
    return {
      id: `${options.instance}-${this.#boots}`,
      startedAt: clock.now(),
      batch,
      cache,
      load,
      orders: new OrderBook(options.checksFencing),
      generations: new Map(),
      end,
    };
  }

  #computeFirstToken(hit: boolean): number {
    const { cachedPrefillMilliseconds, prefillMilliseconds } = this.options;
    const delay = hit ? cachedPrefillMilliseconds : prefillMilliseconds;
    return this.#clock.now() + delay;
  }

  #recordRunning(load: LaggingLoad, running: number): void {
    load.record(running);
    this.#counters.mostRunning = Math.max(this.#counters.mostRunning, running);
  }

  #recordToken(generation: Generation): void {
    this.#counters.tokens++;
    const { crashMarker } = this.options;
    const isPoison = crashMarker !== "" &&
      generation.request.prompt.includes(crashMarker);
    if (isPoison) {
      this.crash(CrashCause.Marker);
    }
  }

  async #countEnd(generation: Generation): Promise<void> {
    while (generation.state === GenerationState.Running) {
      await generation.waitForProgress();
    }
    if (generation.state === GenerationState.Completed) {
      this.#counters.completed++;
    }
    if (generation.state === GenerationState.Cancelled) {
      this.#counters.cancelled++;
    }
  }
}

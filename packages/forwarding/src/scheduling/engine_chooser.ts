/** Chooses among model engines by the predicted time to the first event. */

import type { RandomSource } from "@rattanvane/base";
import type { Prompt, SchedulableCall } from "../model/call.ts";
import type { EngineCapacity } from "../model/route.ts";
import { ChoiceSpread } from "./choice_spread.ts";
import {
  type Choice,
  type ChoiceRequest,
  EndpointChooser,
  NoCapacityReason,
} from "./endpoint_chooser.ts";
import type { EndpointState } from "./endpoint_state.ts";
import {
  EngineGrouping,
  type EngineGroups,
  findAffinityEngine,
} from "./engine_grouping.ts";
import {
  type AdmissionLimits,
  DEFAULT_ENGINE_CHOOSER_SETTINGS,
  type EngineChooserSettings,
} from "./engine_chooser_settings.ts";
import type { LongPromptDemand } from "./long_prompt_demand.ts";
import { computePairs, type PrefillModel } from "./prefill_model.ts";
import { ShareUsage } from "./share_meter.ts";
import {
  computeZoneCost,
  findZoneDistance,
  type ZoneCost,
  type ZoneDistance,
} from "./zone_cost.ts";

const TOKENS_PER_THOUSAND = 1_000;

/** What an {@link EngineChooser} does without if it is not given. */
export interface EngineChooserOptions {
  settings?: EngineChooserSettings;
  /** Without it, the fraction of the engines for long prompts is fixed. */
  demand?: LongPromptDemand;
  /** Lets VMs with the same reports of engines choose differently. */
  random?: RandomSource;
  /** Without it, all zones are treated alike. */
  zoneCost?: ZoneCost | undefined;
}

/** What keeps a request from an engine. */
enum EngineLimit {
  None = "none",
  /** The engine takes no prompts of this length, or failed the request. */
  Excluded = "excluded",
  Slots = "slots",
  /** The request would wait too long behind the prompts of others. */
  Wait = "wait",
  /** Running streams would pause for too long. */
  Pause = "pause",
  /** Too many shared tokens are not cached there. */
  MissingTokens = "missingTokens",
}

/** What holds for a request at all engines. */
interface Query {
  request: ChoiceRequest;
  groups: EngineGroups;
  limits: AdmissionLimits;
  affinityEngine: EndpointState | undefined;
  prompt: Prompt | undefined;
  /** Tokens of the prompt's last part, which no other request shares. */
  ownTokens: number;
  /** Undefined if no engine reports its speed. */
  spread: ChoiceSpread | undefined;
  route: SchedulableCall["route"];
  distance: ZoneDistance;
}

/** What a request means for one engine. */
interface Evaluation {
  endpoint: EndpointState;
  /** Tokens of shared prompt parts that the engine has not cached. */
  missingTokens: number;
  /** The prefill work of the request itself. */
  tokens: number;
  pairs: number;
  /** The prediction for that work alone, at the usual pace. */
  prefillMilliseconds: number;
  predictedMilliseconds: number;
  isLong: boolean;
  /** The predicted time to the first event plus penalties, in milliseconds. */
  cost: number;
}

/**
 * Chooses the engine with the lowest cost: its predicted time to the first
 * event plus penalties for cache misses, failures and interference.
 */
export class EngineChooser extends EndpointChooser {
  readonly #capacity: EngineCapacity;
  readonly #model: PrefillModel;
  readonly #settings: EngineChooserSettings;
  readonly #grouping: EngineGrouping;
  readonly #demand: LongPromptDemand | undefined;
  readonly #random: RandomSource | undefined;
  readonly #zoneCost: ZoneCost | undefined;
  /** The list of endpoints for which {@link #openEngines} was computed. */
  #openEnginesSource: readonly EndpointState[] | undefined;
  /** Engines that are not at a limit, by what the limits depend on. */
  readonly #openEngines = new Map<string, readonly EndpointState[]>();

  constructor(
    capacity: EngineCapacity,
    model: PrefillModel,
    options: EngineChooserOptions = {},
  ) {
    super();
    this.#capacity = capacity;
    this.#model = model;
    this.#settings = options.settings ?? DEFAULT_ENGINE_CHOOSER_SETTINGS;
    this.#demand = options.demand;
    this.#random = options.random;
    this.#zoneCost = options.zoneCost;
    this.#grouping = new EngineGrouping(
      this.#settings.longPromptEngineFraction,
    );
  }

  override recordRequest(call: SchedulableCall): void {
    const prefill = this.#predictOwnPrefill(call.identity.prompt);
    this.#demand?.record(prefill, this.#isLong(prefill, call.route));
  }

  /**
   * Calls with the same list of endpoints belong to one pass over the queue,
   * during which engines only get more load.
   */
  override choose(
    request: ChoiceRequest,
    endpoints: readonly EndpointState[],
  ): Choice | NoCapacityReason {
    if (endpoints.length === 0) {
      return NoCapacityReason.NoEndpoint;
    }
    const query = this.#createQuery(request, endpoints);
    const usable = this.#pickCheapest(
      query,
      this.#listOpenEngines(query, endpoints),
      (evaluation) => this.#hasCapacity(query, evaluation),
    );
    if (usable === undefined) {
      return this.#isLongEverywhere(query)
        ? NoCapacityReason.LongBusy
        : NoCapacityReason.Busy;
    }
    const mayWait = !usable.isLong && this.#isAffinityWaitAllowed(request);
    return mayWait && this.#isWorthWaiting(query, usable)
      ? NoCapacityReason.Busy
      : buildChoice(usable);
  }

  override describeLimits(
    request: ChoiceRequest,
    endpoints: readonly EndpointState[],
  ): string {
    const query = this.#createQuery(request, endpoints);
    const counts = new Map<EngineLimit, number>();
    let shortestPrefill = Infinity;
    for (const endpoint of endpoints) {
      const evaluation = this.#evaluate(query, endpoint);
      shortestPrefill = Math.min(
        shortestPrefill,
        evaluation.prefillMilliseconds,
      );
      const limit = this.#isExcluded(query, evaluation)
        ? EngineLimit.Excluded
        : this.#findLimitReached(query, evaluation) ?? EngineLimit.None;
      counts.set(limit, (counts.get(limit) ?? 0) + 1);
    }
    const reached = [...counts].map(([limit, count]) => `${limit} ${count}`);
    return `${reached.join(", ")}; prefill ${Math.round(shortestPrefill)} ms`;
  }

  /** Whether the engine accepts no such request, whatever its load. */
  #isExcluded(
    { request, groups: { long } }: Query,
    { endpoint, isLong }: Evaluation,
  ): boolean {
    return request.excluded.has(endpoint.record.id) ||
      isLong && long.size > 0 && !long.has(endpoint);
  }

  /** Whether the affinity engine is so much better that waiting for it pays. */
  #isWorthWaiting(query: Query, usable: Evaluation): boolean {
    const { affinityEngine } = query;
    const isUsable = affinityEngine !== undefined &&
      !query.request.excluded.has(affinityEngine.record.id);
    if (!isUsable || usable.missingTokens === 0) {
      return false;
    }
    const affinity = this.#evaluate(query, affinityEngine);
    return !affinity.isLong &&
      usable.cost - affinity.cost > this.#settings.minWaitBenefitMilliseconds;
  }

  #createQuery(
    request: ChoiceRequest,
    endpoints: readonly EndpointState[],
  ): Query {
    const { identity: { prompt }, route } = request.call;
    const groups = this.#grouping.find(
      endpoints,
      this.#demand?.engineFraction ?? 0,
    );
    return {
      request,
      route,
      prompt,
      groups,
      limits: this.#findLimits(request),
      affinityEngine: findAffinityEngine(prompt, groups.affinity),
      ownTokens: countOwnTokens(prompt),
      spread: this.#createSpread(endpoints),
      distance: findZoneDistance(request.call, this.#zoneCost),
    };
  }

  #createSpread(endpoints: readonly EndpointState[]): ChoiceSpread | undefined {
    const random = this.#random;
    return random !== undefined &&
        endpoints.some(({ speed }) => speed.isReported)
      ? new ChoiceSpread(random)
      : undefined;
  }

  #pickCheapest(
    query: Query,
    endpoints: readonly EndpointState[],
    isUsable: (evaluation: Evaluation) => boolean,
  ): Evaluation | undefined {
    let best: Evaluation | undefined;
    for (const endpoint of endpoints) {
      const evaluation = this.#evaluate(query, endpoint);
      const isBetter = best === undefined || evaluation.cost < best.cost;
      const isPossible = isBetter && !this.#isExcluded(query, evaluation);
      if (isPossible && isUsable(evaluation)) {
        best = evaluation;
      }
    }
    return best;
  }

  /**
   * Lists the engines that are not at a limit whatever the request's prompt. An
   * overloaded service has few of them and many requests to check.
   */
  #listOpenEngines(
    query: Query,
    endpoints: readonly EndpointState[],
  ): readonly EndpointState[] {
    if (this.#openEnginesSource !== endpoints) {
      this.#openEnginesSource = endpoints;
      this.#openEngines.clear();
    }
    const key = `${query.request.shareUsage} ${query.route.pauseMilliseconds}`;
    const known = this.#openEngines.get(key);
    if (known !== undefined) {
      return known;
    }
    const { long } = query.groups;
    const open = endpoints.filter((endpoint) =>
      this.#hasFreeSlot(query, endpoint) &&
      (long.size === 0 || long.has(endpoint) ||
        this.#isPauseWithinLimit(query, endpoint, 0, 0))
    );
    this.#openEngines.set(key, open);
    return open;
  }

  /** Whether a request may still wait for its best engine to free capacity. */
  #isAffinityWaitAllowed(
    { call, remainingMilliseconds, shareUsage }: ChoiceRequest,
  ) {
    const remainingFraction = remainingMilliseconds /
      call.route.objectiveMilliseconds;
    return !isOverShare(shareUsage) &&
      remainingFraction > 1 - this.#settings.affinityWaitFraction;
  }

  #evaluate(query: Query, endpoint: EndpointState): Evaluation {
    const { prompt, route } = query;
    // The affinity engine is assumed to have cached the shared parts, because
    // other VMs send requests with the same parts there too.
    const missingTokens =
      prompt === undefined || endpoint === query.affinityEngine
        ? 0
        : endpoint.cache.countMissingTokens(prompt);
    const tokens = query.ownTokens + missingTokens;
    const pairs = computePairs(tokens, prompt?.tokens ?? 0);
    const prefillMilliseconds = this.#model.predictPrefill(tokens, pairs);
    const predictedMilliseconds = endpoint.pace *
      (this.#model.overheadMilliseconds + this.#model.predictPrefill(
        endpoint.pendingTokens + tokens,
        endpoint.pendingPairs + pairs,
      ));
    const isLong = this.#isLong(prefillMilliseconds, route);
    return {
      endpoint,
      missingTokens,
      tokens,
      pairs,
      prefillMilliseconds,
      predictedMilliseconds,
      isLong,
      cost: predictedMilliseconds * this.#computeSpeedFactor(query, endpoint) +
        this.#computePenalty(query, { endpoint, missingTokens, isLong }) +
        computeZoneCost(query.distance, endpoint.record.zone),
    };
  }

  /**
   * Where engines report their speed, prefers those that run less, and lets chance
   * decide between engines that are about as fast.
   */
  #computeSpeedFactor({ spread }: Query, endpoint: EndpointState): number {
    if (spread === undefined) {
      return 1;
    }
    const load = endpoint.running / this.#capacity.slots;
    return spread.computeFactor(endpoint) *
      (1 + this.#settings.reportedLoadWeight * load);
  }

  /** Whether reading a shared part again takes nothing from other requests. */
  #isIdle({ running, recentPrefill }: EndpointState): boolean {
    const maxRunning = this.#capacity.slots * this.#settings.idleSlotFraction;
    return running < maxRunning && recentPrefill.tokens === 0;
  }

  #hasFreeSlot(query: Query, endpoint: EndpointState): boolean {
    return endpoint.hasRateCapacity &&
      endpoint.running <
        this.#capacity.slots * computeSlotFraction(query, endpoint);
  }

  #hasCapacity(query: Query, evaluation: Evaluation): boolean {
    return this.#findLimitReached(query, evaluation) === undefined;
  }

  /** Returns the first limit that keeps a request from an engine. */
  #findLimitReached(
    query: Query,
    evaluation: Evaluation,
  ): EngineLimit | undefined {
    const { endpoint, predictedMilliseconds } = evaluation;
    const { limits, request, route } = query;
    if (!this.#hasFreeSlot(query, endpoint)) {
      return EngineLimit.Slots;
    }
    const ownPrefill = evaluation.prefillMilliseconds * endpoint.pace;
    const wait = predictedMilliseconds - ownPrefill;
    if (evaluation.isLong) {
      const isWithin = wait <= route.objectiveMilliseconds *
          this.#settings.longPromptWaitFraction;
      return isWithin ? undefined : EngineLimit.Wait;
    }
    const isMissingTooMany =
      evaluation.missingTokens > limits.maxMissingTokens &&
      !this.#isIdle(endpoint);
    if (isMissingTooMany) {
      return EngineLimit.MissingTokens;
    }
    const baseWait = route.objectiveMilliseconds * limits.waitFraction;
    const withinObjective = Math.max(
      request.remainingMilliseconds * this.#settings.objectiveFraction -
        ownPrefill,
      baseWait,
    );
    const maxWait = isOverShare(request.shareUsage)
      ? baseWait
      : withinObjective;
    if (wait > maxWait) {
      return EngineLimit.Wait;
    }
    return this.#isPauseWithinLimit(
        query,
        endpoint,
        evaluation.tokens,
        evaluation.pairs,
      )
      ? undefined
      : EngineLimit.Pause;
  }

  /**
   * Limits by share usage. Those of organisations over their share are scaled
   * with the spare capacity, which follows the event intervals of streams; the
   * others have at least the same.
   */
  #findLimits(
    { shareUsage, spareCapacityFactor }: ChoiceRequest,
  ): AdmissionLimits {
    const { admissionLimits } = this.#settings;
    if (isOverShare(shareUsage)) {
      return computeScaledLimits(
        admissionLimits[shareUsage],
        spareCapacityFactor,
      );
    }
    const limits = admissionLimits[shareUsage];
    const spare = computeScaledLimits(
      admissionLimits[ShareUsage.Over],
      spareCapacityFactor,
    );
    return {
      ...limits,
      slotFraction: Math.max(limits.slotFraction, spare.slotFraction),
      pauseFraction: Math.max(limits.pauseFraction, spare.pauseFraction),
    };
  }

  /**
   * Whether the engine's running streams keep an acceptable interval between
   * events: recent prompts and this one delay them by their prefill. An engine
   * that has read nothing recently accepts every prompt that is not long, since
   * a lower limit would keep some sizes out whatever the load.
   */
  #isPauseWithinLimit(
    { route, limits }: Query,
    endpoint: EndpointState,
    tokens: number,
    pairs: number,
  ): boolean {
    if (endpoint.running === 0) {
      return true;
    }
    const recent = endpoint.recentPrefill;
    const prefill = endpoint.pace * this.#model.predictPrefill(
      recent.tokens + tokens,
      recent.pairs + pairs,
    );
    const pauseFraction = recent.tokens > 0
      ? limits.pauseFraction
      : Math.max(limits.pauseFraction, this.#settings.longPromptPauseFraction);
    return prefill <= route.pauseMilliseconds * pauseFraction;
  }

  /** Whether the prompt is long even where its shared parts are cached. */
  #isLongEverywhere({ prompt, route }: Query): boolean {
    return this.#isLong(this.#predictOwnPrefill(prompt), route);
  }

  #isLong(
    prefillMilliseconds: number,
    { pauseMilliseconds }: SchedulableCall["route"],
  ): boolean {
    return prefillMilliseconds >
      pauseMilliseconds * this.#settings.longPromptPauseFraction;
  }

  /** Predicts the prefill of the prompt's last part, which no other shares. */
  #predictOwnPrefill(prompt: Prompt | undefined): number {
    const ownTokens = countOwnTokens(prompt);
    return this.#model.predictPrefill(
      ownTokens,
      computePairs(ownTokens, prompt?.tokens ?? 0),
    );
  }

  #computePenalty(
    { request, groups }: Query,
    { endpoint, missingTokens, isLong }: Pick<
      Evaluation,
      "endpoint" | "missingTokens" | "isLong"
    >,
  ): number {
    const settings = this.#settings;
    let penalty = missingTokens * settings.cacheMissPenaltyMilliseconds /
        TOKENS_PER_THOUSAND +
      endpoint.failureRate * settings.failurePenaltyMilliseconds;
    const isAvoided = request.avoid.has(endpoint.record.id) ||
      endpoint.coldStart.isDown;
    if (isAvoided) {
      penalty += settings.avoidancePenaltyMilliseconds;
    }
    if (isLong === groups.long.has(endpoint)) {
      return penalty;
    }
    return penalty +
      (isLong
        ? endpoint.running * settings.delayedStreamPenaltyMilliseconds
        : settings.shortPromptPenaltyMilliseconds);
  }
}

function countOwnTokens(prompt: Prompt | undefined): number {
  return prompt?.parts.at(-1)?.tokens ?? prompt?.tokens ?? 0;
}

function computeScaledLimits(
  limits: AdmissionLimits,
  factor: number,
): AdmissionLimits {
  return {
    ...limits,
    slotFraction: limits.slotFraction * factor,
    pauseFraction: limits.pauseFraction * factor,
  };
}

/**
 * The slots that the limit leaves free cover requests that this VM does not know. A
 * recent report counts them, so organisations within their share may use all slots.
 */
function computeSlotFraction(
  { limits, request }: Query,
  { speed }: EndpointState,
): number {
  const { slotFraction } = limits;
  return speed.isRecent && !isOverShare(request.shareUsage)
    ? Math.max(slotFraction, 1)
    : slotFraction;
}

function isOverShare(usage: ShareUsage): boolean {
  return usage >= ShareUsage.Over;
}

function buildChoice(evaluation: Evaluation): Choice {
  const { endpoint, tokens, pairs } = evaluation;
  return {
    endpoint,
    work: { tokens, pairs },
    totalWork: {
      tokens: endpoint.pendingTokens + tokens,
      pairs: endpoint.pendingPairs + pairs,
    },
    missingTokens: evaluation.missingTokens,
    predictedMilliseconds: evaluation.predictedMilliseconds,
    isLong: evaluation.isLong,
  };
}

/** Chooses among model engines by the predicted time to the first event. */

import { RendezvousScores } from "@rattanvane/base";
import type { Prompt, SchedulableCall } from "../model/call.ts";
import type { EngineCapacity } from "../model/route.ts";
import {
  type Choice,
  type ChoiceRequest,
  EndpointChooser,
  NoCapacityReason,
} from "./endpoint_chooser.ts";
import type { EndpointState } from "./endpoint_state.ts";
import {
  type AdmissionLimits,
  DEFAULT_ENGINE_CHOOSER_SETTINGS,
  type EngineChooserSettings,
} from "./engine_chooser_settings.ts";
import {
  computePairs,
  type PrefillModel,
  type PrefillWork,
} from "./prefill_model.ts";
import { findAffinityPart } from "./prompt_cache_map.ts";
import { ShareUsage } from "./share_meter.ts";

const TOKENS_PER_THOUSAND = 1_000;
/** With fewer engines, all of them accept long prompts. */
const MIN_ENGINES_FOR_LONG_PROMPT_SPLIT = 4;
/** Ranks the engines for long prompts; no prompt part has this id. */
const LONG_PROMPT_RANKING_KEY = "long";

/** The engines that long prompts go to, for one list of usable endpoints. */
interface LongPromptEngines {
  candidates: readonly EndpointState[];
  engines: ReadonlySet<EndpointState>;
}

interface CostedChoice {
  choice: Choice;
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
  readonly #scores = new RendezvousScores();
  /** Cached for the list of endpoints of the latest request. */
  #longPromptEngines: LongPromptEngines | undefined;

  constructor(
    capacity: EngineCapacity,
    model: PrefillModel,
    settings = DEFAULT_ENGINE_CHOOSER_SETTINGS,
  ) {
    super();
    this.#capacity = capacity;
    this.#model = model;
    this.#settings = settings;
  }

  override choose(
    request: ChoiceRequest,
    endpoints: readonly EndpointState[],
  ): Choice | NoCapacityReason {
    if (endpoints.length === 0) {
      return NoCapacityReason.NoEndpoint;
    }
    const best = this.#pick(request, endpoints, () => true);
    if (best === undefined || this.#hasCapacity(request, best.choice)) {
      return best?.choice ?? NoCapacityReason.LongBusy;
    }
    if (best.choice.isLong) {
      return this.#pick(
        request,
        endpoints,
        (choice) => this.#hasCapacity(request, choice),
      )?.choice ?? NoCapacityReason.LongBusy;
    }
    const other = this.#pick(
      request,
      endpoints,
      (choice) => this.#hasCapacity(request, choice),
    );
    const isWorthWaiting = this.#isAffinityWaitAllowed(request) &&
      (other?.cost ?? Infinity) - best.cost >
        this.#settings.minWaitBenefitMilliseconds;
    return isWorthWaiting || other === undefined
      ? NoCapacityReason.Busy
      : other.choice;
  }

  #pick(
    request: ChoiceRequest,
    endpoints: readonly EndpointState[],
    isUsable: (choice: Choice) => boolean,
  ): CostedChoice | undefined {
    const longPromptEngines = this.#listLongPromptEngines(endpoints);
    const affinityEngine = this.#findAffinityEngine(
      request.call.identity.prompt,
      endpoints.filter((endpoint) => !longPromptEngines.has(endpoint)),
    );
    let best: CostedChoice | undefined;
    for (const endpoint of endpoints) {
      const choice = this.#buildChoice(request, endpoint, affinityEngine);
      const isExcluded = longPromptEngines.size > 0 &&
        !longPromptEngines.has(endpoint) && choice.isLong;
      if (isExcluded || !isUsable(choice)) {
        continue;
      }
      const cost = this.#computeCost(request, choice, longPromptEngines);
      if (best === undefined || cost < best.cost) {
        best = { choice, cost };
      }
    }
    return best;
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

  #buildChoice(
    { call }: ChoiceRequest,
    endpoint: EndpointState,
    affinityEngine: EndpointState | undefined,
  ): Choice {
    const { prompt } = call.identity;
    const missingTokens = prompt === undefined
      ? 0
      : this.#countMissingTokens(prompt, {
        endpoint,
        isAffinityEngine: endpoint === affinityEngine,
      });
    const work = computePrefillWork(prompt, missingTokens);
    const pending = endpoint.pendingPrefill;
    const totalWork = {
      tokens: pending.tokens + work.tokens,
      pairs: pending.pairs + work.pairs,
    };
    const predictedMilliseconds = endpoint.pace *
      (this.#model.overheadMilliseconds +
        this.#model.predictPrefill(totalWork));
    return {
      endpoint,
      work,
      totalWork,
      missingTokens,
      predictedMilliseconds,
      isLong: this.#isLongPrompt(call.route, work),
    };
  }

  /**
   * The affinity engine is assumed to have cached the shared parts, because
   * peers send requests with the same parts there too.
   */
  #countMissingTokens(
    prompt: Prompt,
    { endpoint, isAffinityEngine }: {
      endpoint: EndpointState;
      isAffinityEngine: boolean;
    },
  ): number {
    return isAffinityEngine ? 0 : endpoint.cache.countMissingTokens(prompt);
  }

  #hasCapacity(request: ChoiceRequest, choice: Choice): boolean {
    const { endpoint, work, predictedMilliseconds } = choice;
    const limits = this.#findLimits(request);
    if (endpoint.running >= this.#capacity.slots * limits.slotFraction) {
      return false;
    }
    const ownPrefill = this.#model.predictPrefill(work) * endpoint.pace;
    const { objectiveMilliseconds } = request.call.route;
    if (choice.isLong) {
      return predictedMilliseconds - ownPrefill <=
        objectiveMilliseconds * this.#settings.longPromptWaitFraction;
    }
    if (choice.missingTokens > limits.maxMissingTokens) {
      return false;
    }
    const baseWait = objectiveMilliseconds * limits.waitFraction;
    const withinObjective = Math.max(
      request.remainingMilliseconds * this.#settings.objectiveFraction -
        ownPrefill,
      baseWait,
    );
    const wait = predictedMilliseconds - ownPrefill;
    const maxWait = isOverShare(request.shareUsage)
      ? baseWait
      : withinObjective;
    return wait <= maxWait && this.#isPauseWithinLimit(request, choice);
  }

  /**
   * Limits by share usage. Those of organisations over their share are scaled
   * with the spare capacity, which follows the event intervals of streams.
   */
  #findLimits(
    { shareUsage, spareCapacityFactor }: ChoiceRequest,
  ): AdmissionLimits {
    const limits = this.#settings.admissionLimits[shareUsage];
    return isOverShare(shareUsage)
      ? {
        ...limits,
        slotFraction: limits.slotFraction * spareCapacityFactor,
        pauseFraction: limits.pauseFraction * spareCapacityFactor,
      }
      : limits;
  }

  /**
   * Whether the engine's running streams keep an acceptable interval between
   * events: recent prompts and this one delay them by their prefill.
   */
  #isPauseWithinLimit(request: ChoiceRequest, choice: Choice): boolean {
    const { endpoint, work } = choice;
    if (endpoint.running === 0) {
      return true;
    }
    const recent = endpoint.recentPrefill;
    const prefill = endpoint.pace * this.#model.predictPrefill({
      tokens: recent.tokens + work.tokens,
      pairs: recent.pairs + work.pairs,
    });
    const { pauseFraction } = this.#findLimits(request);
    return prefill <= request.call.route.pauseMilliseconds * pauseFraction;
  }

  #isLongPrompt(
    { pauseMilliseconds }: SchedulableCall["route"],
    work: PrefillWork,
  ): boolean {
    return this.#model.predictPrefill(work) >
      pauseMilliseconds * this.#settings.longPromptPauseFraction;
  }

  #computeCost(
    request: ChoiceRequest,
    choice: Choice,
    longPromptEngines: ReadonlySet<EndpointState>,
  ): number {
    const { endpoint, missingTokens, predictedMilliseconds } = choice;
    const settings = this.#settings;
    const cacheMissPenalty = missingTokens *
      settings.cacheMissPenaltyMilliseconds /
      TOKENS_PER_THOUSAND;
    const failurePenalty = endpoint.failureRate *
      settings.failurePenaltyMilliseconds;
    const isAvoided = request.avoid.has(endpoint.record.id) ||
      endpoint.coldStart.isDown;
    const avoidancePenalty = isAvoided
      ? settings.avoidancePenaltyMilliseconds
      : 0;
    const { isLong } = choice;
    const delayPenalty = isLong && !longPromptEngines.has(endpoint)
      ? endpoint.running * settings.delayedStreamPenaltyMilliseconds
      : 0;
    const shortPromptPenalty = !isLong && longPromptEngines.has(endpoint)
      ? settings.shortPromptPenaltyMilliseconds
      : 0;
    return predictedMilliseconds + cacheMissPenalty + failurePenalty +
      avoidancePenalty + delayPenalty + shortPromptPenalty;
  }

  #listLongPromptEngines(
    endpoints: readonly EndpointState[],
  ): ReadonlySet<EndpointState> {
    if (this.#longPromptEngines?.candidates !== endpoints) {
      const engines = this.#pickLongPromptEngines(endpoints);
      this.#longPromptEngines = { candidates: endpoints, engines };
    }
    return this.#longPromptEngines.engines;
  }

  /** Ranks by rendezvous hashing, so that all VMs pick the same engines. */
  #pickLongPromptEngines(
    endpoints: readonly EndpointState[],
  ): ReadonlySet<EndpointState> {
    const count = Math.max(
      1,
      Math.round(endpoints.length * this.#settings.longPromptEngineFraction),
    );
    if (endpoints.length < MIN_ENGINES_FOR_LONG_PROMPT_SPLIT) {
      return new Set();
    }
    const ranked = [...endpoints].sort((first, second) =>
      this.#scores.compute(LONG_PROMPT_RANKING_KEY, second.record.id) -
      this.#scores.compute(LONG_PROMPT_RANKING_KEY, first.record.id)
    );
    return new Set(ranked.slice(0, count));
  }

  /** Finds the engine that requests with the same shared prompt parts go to. */
  #findAffinityEngine(
    prompt: Prompt | undefined,
    endpoints: readonly EndpointState[],
  ): EndpointState | undefined {
    const part = prompt === undefined ? undefined : findAffinityPart(prompt);
    if (part === undefined) {
      return undefined;
    }
    let best: EndpointState | undefined;
    let bestScore = -1;
    for (const endpoint of endpoints) {
      const score = this.#scores.compute(part.id, endpoint.record.id);
      if (score > bestScore) {
        best = endpoint;
        bestScore = score;
      }
    }
    return best;
  }
}

function isOverShare(usage: ShareUsage): boolean {
  return usage >= ShareUsage.Over;
}

function computePrefillWork(
  prompt: Prompt | undefined,
  missingTokens: number,
): PrefillWork {
  if (prompt === undefined) {
    return { tokens: 0, pairs: 0 };
  }
  const ownTokens = prompt.parts.at(-1)?.tokens ?? prompt.tokens;
  const tokens = missingTokens + ownTokens;
  return { tokens, pairs: computePairs(tokens, prompt.tokens) };
}

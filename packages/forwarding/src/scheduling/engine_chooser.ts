/** Chooses among model engines, by the time to the first event. */

import { createHash } from "node:crypto";
import type { Prompt } from "../model/call.ts";
import type { EngineTraits } from "../model/route.ts";
import {
  type Choice,
  type ChoiceRequest,
  EndpointChooser,
  NoRoomReason,
} from "./endpoint_chooser.ts";
import type { EndpointState } from "./endpoint_state.ts";
import {
  computePairs,
  type PrefillModel,
  type PrefillWork,
} from "./prefill_model.ts";
import { findHomePart } from "./prompt_cache_map.ts";

const RANK_BYTES = 6;
const MAXIMUM_CACHED_RANKS = 50_000;

/** How the chooser weighs what speaks for and against an endpoint. */
export interface EngineChooserSettings {
  /** Reading a shared part again counts as so many times its own time. */
  rereadWeight: number;
  /** Each running stream that a long prompt delays, as a part of its time. */
  pauseWeight: number;
  /** Prompts that are read within this time delay nobody noticeably. */
  shortReadMilliseconds: number;
  /** The part of the objective that the prediction may take. */
  objectiveShare: number;
  /** The part of the objective that others' work may take before any prompt. */
  leastWaitShare: number;
  /** The part of the slots that is used. */
  slotShare: number;
  /** The part of the slots that is used by who is over its share. */
  spareSlotShare: number;
  /** The part of the slots taken from which requests may be refused. */
  loadedSlotShare: number;
  /** The part of an engine's failures that count as so much time. */
  failureMilliseconds: number;
  /** The longest work that waits at an engine, in milliseconds. */
  longestBacklogMilliseconds: number;
}

/** The settings that fit most fleets. */
export const DEFAULT_ENGINE_CHOOSER_SETTINGS: EngineChooserSettings = {
  rereadWeight: 3,
  pauseWeight: 0.05,
  shortReadMilliseconds: 60,
  objectiveShare: 0.9,
  leastWaitShare: 0.25,
  slotShare: 0.85,
  spareSlotShare: 0.5,
  loadedSlotShare: 0.5,
  failureMilliseconds: 2_000,
  longestBacklogMilliseconds: 2_000,
};

/** Predicts each engine's time to the first event and takes the cheapest. */
export class EngineChooser extends EndpointChooser {
  readonly #traits: EngineTraits;
  readonly #model: PrefillModel;
  readonly #settings: EngineChooserSettings;
  readonly #ranks = new Map<string, number>();

  constructor(
    traits: EngineTraits,
    model: PrefillModel,
    settings = DEFAULT_ENGINE_CHOOSER_SETTINGS,
  ) {
    super();
    this.#traits = traits;
    this.#model = model;
    this.#settings = settings;
  }

  override choose(
    request: ChoiceRequest,
    endpoints: readonly EndpointState[],
  ): Choice | NoRoomReason {
    if (endpoints.length === 0) {
      return NoRoomReason.NoEndpoint;
    }
    return this.#pick(request, endpoints, true) ?? NoRoomReason.Busy;
  }

  override isLoaded(endpoints: readonly EndpointState[]): boolean {
    let running = 0;
    for (const endpoint of endpoints) {
      running += endpoint.running;
    }
    const slots = endpoints.length * this.#traits.slots;
    return running >= slots * this.#settings.loadedSlotShare;
  }

  override chooseAnyway(
    request: ChoiceRequest,
    endpoints: readonly EndpointState[],
  ): Choice | undefined {
    return this.#pick(request, endpoints, false);
  }

  #pick(
    request: ChoiceRequest,
    endpoints: readonly EndpointState[],
    needsRoom: boolean,
  ): Choice | undefined {
    const home = this.#findHome(request.call.identity.prompt, endpoints);
    let best: Choice | undefined;
    let bestCost = Infinity;
    for (const endpoint of endpoints) {
      const choice = this.#describeChoice(request, endpoint, home);
      if (needsRoom && !this.#hasRoom(request, choice)) {
        continue;
      }
      const cost = this.#computeCost(request, choice);
      if (cost < bestCost) {
        best = choice;
        bestCost = cost;
      }
    }
    return best;
  }

  #describeChoice(
    { call }: ChoiceRequest,
    endpoint: EndpointState,
    home: EndpointState | undefined,
  ): Choice {
    const { prompt } = call.identity;
    const missingTokens = prompt === undefined
      ? 0
      : this.#countMissing(prompt, { endpoint, isHome: endpoint === home });
    const work = describeWork(prompt, missingTokens);
    const waiting = endpoint.waitingWork;
    const totalWork = {
      tokens: waiting.tokens + work.tokens,
      pairs: waiting.pairs + work.pairs,
    };
    const predictedMilliseconds = endpoint.pace *
      (this.#model.overheadMilliseconds +
        this.#model.predictReading(totalWork));
    return { endpoint, work, totalWork, missingTokens, predictedMilliseconds };
  }

  /** The home is taken to keep what peers have sent there. */
  #countMissing(
    prompt: Prompt,
    { endpoint, isHome }: { endpoint: EndpointState; isHome: boolean },
  ): number {
    return isHome ? 0 : endpoint.cache.countMissing(prompt);
  }

  #hasRoom(request: ChoiceRequest, choice: Choice): boolean {
    const { endpoint, work, predictedMilliseconds } = choice;
    const settings = this.#settings;
    const share = request.isSpareOnly
      ? settings.spareSlotShare
      : settings.slotShare;
    if (endpoint.running >= this.#traits.slots * share) {
      return false;
    }
    const own = this.#model.predictReading(work) * endpoint.pace;
    const objective = request.call.route.objectiveMilliseconds;
    const leastWait = objective * settings.leastWaitShare;
    const allowed = Math.max(
      request.remainingMilliseconds * settings.objectiveShare - own,
      leastWait,
    );
    const wait = predictedMilliseconds - own;
    return wait <= (request.isSpareOnly ? leastWait : allowed);
  }

  #computeCost(request: ChoiceRequest, choice: Choice): number {
    const { endpoint, work, missingTokens, predictedMilliseconds } = choice;
    const settings = this.#settings;
    const reread = this.#model.predictReading({
      tokens: missingTokens,
      pairs: 0,
    });
    const own = this.#model.predictReading(work);
    const long = Math.max(0, own - settings.shortReadMilliseconds);
    const delayed = long * endpoint.running * settings.pauseWeight;
    const failed = endpoint.failureShare * settings.failureMilliseconds;
    const avoided = request.avoid.has(endpoint.record.id) ||
        endpoint.cold.isDown
      ? settings.longestBacklogMilliseconds
      : 0;
    return predictedMilliseconds + reread * settings.rereadWeight + delayed +
      failed + avoided;
  }

  #findHome(
    prompt: Prompt | undefined,
    endpoints: readonly EndpointState[],
  ): EndpointState | undefined {
    const part = prompt === undefined ? undefined : findHomePart(prompt);
    if (part === undefined) {
      return undefined;
    }
    let best: EndpointState | undefined;
    let bestRank = -1;
    for (const endpoint of endpoints) {
      const rank = this.#computeRank(part.id, endpoint.record.id);
      if (rank > bestRank) {
        best = endpoint;
        bestRank = rank;
      }
    }
    return best;
  }

  #computeRank(part: string, endpoint: string): number {
    const key = `${part}\n${endpoint}`;
    const known = this.#ranks.get(key);
    if (known !== undefined) {
      return known;
    }
    if (this.#ranks.size >= MAXIMUM_CACHED_RANKS) {
      this.#ranks.clear();
    }
    const digest = createHash("sha256").update(key).digest();
    const rank = digest.readUIntBE(0, RANK_BYTES);
    this.#ranks.set(key, rank);
    return rank;
  }
}

function describeWork(
  prompt: Prompt | undefined,
  missingTokens: number,
): PrefillWork {
  if (prompt === undefined) {
    return { tokens: 0, pairs: 0 };
  }
  const own = prompt.parts.at(-1)?.tokens ?? prompt.tokens;
  const tokens = missingTokens + own;
  return { tokens, pairs: computePairs(tokens, prompt.tokens) };
}

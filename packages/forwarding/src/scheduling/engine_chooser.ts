/** Chooses among model engines, by the time to the first event. */

import { RendezvousScores } from "@rattanvane/base";
import type { Prompt } from "../model/call.ts";
import type { EngineTraits, ForwardingRoute } from "../model/route.ts";
import {
  type Choice,
  type ChoiceRequest,
  EndpointChooser,
  NoRoomReason,
} from "./endpoint_chooser.ts";
import type { EndpointState } from "./endpoint_state.ts";
import {
  DEFAULT_ENGINE_CHOOSER_SETTINGS,
  type EngineChooserSettings,
  type RoomLimits,
} from "./engine_chooser_settings.ts";
import {
  computePairs,
  type PrefillModel,
  type PrefillWork,
} from "./prefill_model.ts";
import { findHomePart } from "./prompt_cache_map.ts";
import { ShareStanding } from "./share_meter.ts";

const TOKENS_PER_THOUSAND = 1_000;
/** Fewer engines take all prompts. */
const LEAST_ENGINES_TO_SPLIT = 4;
/** Ranks the engines for long prompts; no part has this id. */
const LONG_PART = "long";

/** The engines that take long prompts, among those that are usable. */
interface LongEngines {
  among: readonly EndpointState[];
  engines: ReadonlySet<EndpointState>;
}

interface CostedChoice {
  choice: Choice;
  /** What speaks against it, in milliseconds. */
  cost: number;
}

/** Predicts each engine's time to the first event and takes the cheapest. */
export class EngineChooser extends EndpointChooser {
  readonly #traits: EngineTraits;
  readonly #model: PrefillModel;
  readonly #settings: EngineChooserSettings;
  readonly #ranks = new RendezvousScores();
  /** For the endpoints that were listed last. */
  #longEngines: LongEngines | undefined;

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
    const best = this.#pick(request, endpoints, () => true);
    if (best === undefined || this.#hasRoom(request, best.choice)) {
      return best?.choice ?? NoRoomReason.LongBusy;
    }
    if (best.choice.isLong) {
      return this.#pick(
        request,
        endpoints,
        (choice) => this.#hasRoom(request, choice),
      )?.choice ?? NoRoomReason.LongBusy;
    }
    const other = this.#pick(
      request,
      endpoints,
      (choice) => this.#hasRoom(request, choice),
    );
    const isWorthWaiting = this.#isPatient(request) &&
      (other?.cost ?? Infinity) - best.cost >
        this.#settings.worthWaitingMilliseconds;
    return isWorthWaiting || other === undefined
      ? NoRoomReason.Busy
      : other.choice;
  }

  #pick(
    request: ChoiceRequest,
    endpoints: readonly EndpointState[],
    isUsable: (choice: Choice) => boolean,
  ): CostedChoice | undefined {
    const longEngines = this.#listLongEngines(endpoints);
    const home = this.#findHome(
      request.call.identity.prompt,
      endpoints.filter((endpoint) => !longEngines.has(endpoint)),
    );
    let best: CostedChoice | undefined;
    for (const endpoint of endpoints) {
      const choice = this.#describeChoice(request, endpoint, home);
      const isForOthers = longEngines.size > 0 &&
        !longEngines.has(endpoint) && choice.isLong;
      if (isForOthers || !isUsable(choice)) {
        continue;
      }
      const cost = this.#computeCost(request, choice, longEngines);
      if (best === undefined || cost < best.cost) {
        best = { choice, cost };
      }
    }
    return best;
  }

  /** Whether a request may still wait for its best engine. */
  #isPatient({ call, remainingMilliseconds, standing }: ChoiceRequest) {
    const left = remainingMilliseconds / call.route.objectiveMilliseconds;
    return !isOverShare(standing) && left > 1 - this.#settings.patienceShare;
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
    return {
      endpoint,
      work,
      totalWork,
      missingTokens,
      predictedMilliseconds,
      isLong: this.#isLong(call.route, work),
    };
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
    const room = this.#findRoom(request);
    if (endpoint.running >= this.#traits.slots * room.slotShare) {
      return false;
    }
    const own = this.#model.predictReading(work) * endpoint.pace;
    const { objectiveMilliseconds } = request.call.route;
    if (choice.isLong) {
      return predictedMilliseconds - own <=
        objectiveMilliseconds * this.#settings.longWaitShare;
    }
    if (choice.missingTokens > room.rereadTokens) {
      return false;
    }
    const leastWait = objectiveMilliseconds * room.waitShare;
    const allowed = Math.max(
      request.remainingMilliseconds * this.#settings.objectiveShare - own,
      leastWait,
    );
    const wait = predictedMilliseconds - own;
    const longest = isOverShare(request.standing) ? leastWait : allowed;
    return wait <= longest && this.#keepsPauses(request, choice);
  }

  /** The room of those over their share follows how streams fare. */
  #findRoom({ standing, spareFactor }: ChoiceRequest): RoomLimits {
    const room = this.#settings.room[standing];
    return isOverShare(standing)
      ? {
        ...room,
        slotShare: room.slotShare * spareFactor,
        pauseShare: room.pauseShare * spareFactor,
      }
      : room;
  }

  /** Whether the streams that run there go on without a long pause. */
  #keepsPauses(request: ChoiceRequest, choice: Choice): boolean {
    const { endpoint, work } = choice;
    if (endpoint.running === 0) {
      return true;
    }
    const recent = endpoint.recentWork;
    const reading = endpoint.pace * this.#model.predictReading({
      tokens: recent.tokens + work.tokens,
      pairs: recent.pairs + work.pairs,
    });
    const { pauseShare } = this.#findRoom(request);
    return reading <= request.call.route.pauseMilliseconds * pauseShare;
  }

  #isLong({ pauseMilliseconds }: ForwardingRoute, work: PrefillWork): boolean {
    return this.#model.predictReading(work) >
      pauseMilliseconds * this.#settings.longPauseShare;
  }

  #computeCost(
    request: ChoiceRequest,
    choice: Choice,
    longEngines: ReadonlySet<EndpointState>,
  ): number {
    const { endpoint, missingTokens, predictedMilliseconds } = choice;
    const settings = this.#settings;
    const reread = missingTokens * settings.rereadMilliseconds /
      TOKENS_PER_THOUSAND;
    const failed = endpoint.failureShare * settings.failureMilliseconds;
    const isAvoided = request.avoid.has(endpoint.record.id) ||
      endpoint.cold.isDown;
    const avoided = isAvoided ? settings.avoidedMilliseconds : 0;
    const { isLong } = choice;
    const delayed = isLong && !longEngines.has(endpoint)
      ? endpoint.running * settings.delayedStreamMilliseconds
      : 0;
    const beside = !isLong && longEngines.has(endpoint)
      ? settings.shortBesideLongMilliseconds
      : 0;
    return predictedMilliseconds + reread + failed + avoided + delayed + beside;
  }

  #listLongEngines(
    endpoints: readonly EndpointState[],
  ): ReadonlySet<EndpointState> {
    if (this.#longEngines?.among !== endpoints) {
      const engines = this.#rankLongEngines(endpoints);
      this.#longEngines = { among: endpoints, engines };
    }
    return this.#longEngines.engines;
  }

  /** All VMs choose the same engines for long prompts. */
  #rankLongEngines(
    endpoints: readonly EndpointState[],
  ): ReadonlySet<EndpointState> {
    const count = Math.max(
      1,
      Math.round(endpoints.length * this.#settings.longEngineShare),
    );
    if (endpoints.length < LEAST_ENGINES_TO_SPLIT) {
      return new Set();
    }
    const ranked = [...endpoints].sort((first, second) =>
      this.#ranks.compute(LONG_PART, second.record.id) -
      this.#ranks.compute(LONG_PART, first.record.id)
    );
    return new Set(ranked.slice(0, count));
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
      const rank = this.#ranks.compute(part.id, endpoint.record.id);
      if (rank > bestRank) {
        best = endpoint;
        bestRank = rank;
      }
    }
    return best;
  }
}

function isOverShare(standing: ShareStanding): boolean {
  return standing >= ShareStanding.Over;
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

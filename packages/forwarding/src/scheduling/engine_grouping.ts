/** Divides engines by the prompts that they serve. */

import { computePairScore, hashText } from "@rattanvane/base";
import type { Prompt } from "../model/call.ts";
import type { EndpointState } from "./endpoint_state.ts";
import { findAffinityPart } from "./prompt_cache_map.ts";

/** With fewer engines, all of them accept long prompts. */
const MIN_ENGINES_FOR_LONG_PROMPT_SPLIT = 4;
/** Ranks the engines for long prompts. */
const LONG_PROMPT_RANKING_HASH = hashText("long");

/** A division of the usable engines by the prompts that they serve. */
export interface EngineGroups {
  all: readonly EndpointState[];
  /** Empty if there are too few engines to divide them. */
  long: ReadonlySet<EndpointState>;
  /** The engines that prompts are assigned to by their shared parts. */
  affinity: readonly EndpointState[];
}

/** Keeps a few engines for long prompts, the same ones on all VMs. */
export class EngineGrouping {
  /** The fraction of the engines, at least one, that long prompts go to. */
  readonly #minFraction: number;
  #groups: EngineGroups = { all: [], long: new Set(), affinity: [] };

  constructor(minFraction: number) {
    this.#minFraction = minFraction;
  }

  /**
   * Returns the division of a list; it changes only when the list does, or the
   * number of engines for long prompts.
   *
   * @param demandFraction the fraction of the engines that long prompts ask for
   */
  find(
    endpoints: readonly EndpointState[],
    demandFraction: number,
  ): EngineGroups {
    const isSame = hasSameElements(this.#groups.all, endpoints);
    const count = this.#countLongPromptEngines(endpoints, demandFraction);
    if (!isSame || count !== this.#groups.long.size) {
      const long = this.#pickLongPromptEngines(endpoints, count);
      const affinity = endpoints.filter((endpoint) => !long.has(endpoint));
      this.#groups = { all: endpoints, long, affinity };
    }
    return this.#groups;
  }

  /** Falls only by two engines or more, so that it does not alternate. */
  #countLongPromptEngines(
    { length }: readonly EndpointState[],
    demandFraction: number,
  ): number {
    if (length < MIN_ENGINES_FOR_LONG_PROMPT_SPLIT) {
      return 0;
    }
    const demanded = length * demandFraction;
    const minimum = Math.max(1, Math.round(length * this.#minFraction));
    const count = Math.max(minimum, Math.floor(demanded));
    const current = this.#groups.long.size;
    const isKept = current === count + 1 && demanded > count - 0.5;
    return isKept ? current : count;
  }

  /** Ranks by rendezvous hashing, so that all VMs pick the same engines. */
  #pickLongPromptEngines(
    endpoints: readonly EndpointState[],
    count: number,
  ): ReadonlySet<EndpointState> {
    const ranked = [...endpoints].sort((first, second) =>
      computePairScore(LONG_PROMPT_RANKING_HASH, second.idHash) -
      computePairScore(LONG_PROMPT_RANKING_HASH, first.idHash)
    );
    return new Set(ranked.slice(0, count));
  }
}

function hasSameElements<Element>(
  first: readonly Element[],
  second: readonly Element[],
): boolean {
  return first === second ||
    first.length === second.length &&
      first.every((element, index) => element === second[index]);
}

/** Finds the engine that requests with the same shared prompt parts go to. */
export function findAffinityEngine(
  prompt: Prompt | undefined,
  endpoints: readonly EndpointState[],
): EndpointState | undefined {
  const part = prompt === undefined ? undefined : findAffinityPart(prompt);
  if (part === undefined) {
    return undefined;
  }
  const partHash = hashText(part.id);
  let best: EndpointState | undefined;
  let bestScore = -1;
  for (const endpoint of endpoints) {
    const score = computePairScore(partHash, endpoint.idHash);
    if (score > bestScore) {
      best = endpoint;
      bestScore = score;
    }
  }
  return best;
}

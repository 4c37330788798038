/** Where an organisation's calls come from and what they ask for. */

import type { RandomSource } from "@rattanvane/base";
import type { CompletionCall, CompletionCaller } from "./completion_caller.ts";

/** One organisation's calls. */
export interface LoadSource {
  caller: CompletionCaller;
  /** The routers that it calls; each call picks one. */
  urls: readonly string[];
  model: string;
  /** The fewest and the most tokens of an answer. */
  tokens: { fewest: number; most: number };
  /** The fraction of calls that are streamed. */
  streamFraction: number;
  /** Further headers of each call. */
  headers?: Record<string, string>;
  /** Goes into the prompts, so that they differ between organisations. */
  name: string;
}

/** Generates a call from the source's settings. */
export function generateCall(
  source: LoadSource,
  options: { random: RandomSource; index: number },
): CompletionCall {
  const { random, index } = options;
  const { fewest, most } = source.tokens;
  const tokens = random.nextInteger(fewest, most);
  return {
    url: random.pick(source.urls) ?? "",
    model: source.model,
    prompt: `${source.name} call ${index} [tokens:${tokens}]`,
    maxTokens: most,
    isChat: random.nextFraction() < 0.5,
    isStream: random.nextFraction() < source.streamFraction,
    ...(source.headers === undefined ? {} : { headers: source.headers }),
  };
}

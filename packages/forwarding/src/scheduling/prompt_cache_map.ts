/** Estimates which prompt parts an endpoint has in its cache. */

import type { Prompt, PromptPart } from "../model/call.ts";

/**
 * Parts beyond this fraction of the endpoint's memory are assumed to have been
 * evicted, least recently used first.
 */
const TRACKED_MEMORY_FRACTION = 0.7;

/** The prompt parts sent to one endpoint, most recently used last. */
export class PromptCacheMap {
  readonly #parts = new Map<string, number>();
  #tokens = 0;

  /** Removes all parts, as a restart clears the endpoint's cache. */
  clear(): void {
    this.#parts.clear();
    this.#tokens = 0;
  }

  /** Records that the endpoint processes the shared parts of a prompt. */
  record(prompt: Prompt, memoryTokens: number): void {
    for (const part of listSharedParts(prompt)) {
      this.#tokens += part.tokens - (this.#parts.get(part.id) ?? 0);
      this.#parts.delete(part.id);
      this.#parts.set(part.id, part.tokens);
    }
    for (const [id, tokens] of this.#parts) {
      if (this.#tokens <= memoryTokens * TRACKED_MEMORY_FRACTION) {
        return;
      }
      this.#parts.delete(id);
      this.#tokens -= tokens;
    }
  }

  /**
   * Counts the tokens of shared parts that the endpoint has not cached. A part
   * after a missing one counts as missing, since only a prefix can be reused.
   */
  countMissingTokens(prompt: Prompt): number {
    const { parts } = prompt;
    let missing = 0;
    for (let index = 0; index < parts.length - 1; index++) {
      const part = parts[index] as PromptPart;
      const isCached = missing === 0 && this.#parts.has(part.id);
      missing += isCached ? 0 : part.tokens;
    }
    return missing;
  }
}

/** Lists the parts that other requests may share: all but the last. */
export function listSharedParts(prompt: Prompt): PromptPart[] {
  return prompt.parts.slice(0, -1);
}

/**
 * Finds the part by which requests are assigned to the same engine; undefined
 * if the prompt has no parts.
 */
export function findAffinityPart(prompt: Prompt): PromptPart | undefined {
  return prompt.parts.at(-2) ?? prompt.parts.at(0);
}

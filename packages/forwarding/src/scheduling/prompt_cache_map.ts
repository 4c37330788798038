/** Estimates which prompt parts an endpoint has in its cache. */

import { Buffer } from "node:buffer";
import type { Prompt, PromptPart } from "../model/call.ts";

/**
 * Parts beyond this fraction of the endpoint's memory are assumed to have been
 * evicted, least recently used first.
 */
const TRACKED_MEMORY_FRACTION = 0.7;
/** What a part takes of this VM's memory, besides its id. */
const PART_BYTES = 100;
/** V8 makes a part of another text of one that has this length or more. */
const MIN_SLICE_LENGTH = 13;

/** What the parts of one endpoint may take. */
export interface PromptCacheLimits {
  /** The tokens that the endpoint's memory holds. */
  memoryTokens: number;
  /** The memory of this VM, in bytes; no limit by default. */
  maxBytes?: number;
}

/**
 * The prompt parts sent to one endpoint, most recently used last.
 *
 * Load: prompts of many parts of a few tokens each.
 */
export class PromptCacheMap {
  readonly #parts = new Map<string, number>();
  #tokens = 0;
  #bytes = 0;

  /** An estimate of the memory that the parts take. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Removes all parts, as a restart clears the endpoint's cache. */
  clear(): void {
    this.#parts.clear();
    this.#tokens = 0;
    this.#bytes = 0;
  }

  /** Records that the endpoint processes the shared parts of a prompt. */
  record(
    prompt: Prompt,
    { memoryTokens, maxBytes = Infinity }: PromptCacheLimits,
  ): void {
    for (const { id, tokens } of listSharedParts(prompt)) {
      this.#remove(id);
      this.#parts.set(convertToOwnText(id), tokens);
      this.#tokens += tokens;
      this.#bytes += PART_BYTES + id.length;
    }
    const maxTokens = memoryTokens * TRACKED_MEMORY_FRACTION;
    for (const id of this.#parts.keys()) {
      if (this.#tokens <= maxTokens && this.#bytes <= maxBytes) {
        return;
      }
      this.#remove(id);
    }
  }

  #remove(id: string): void {
    const tokens = this.#parts.get(id);
    if (tokens !== undefined) {
      this.#parts.delete(id);
      this.#tokens -= tokens;
      this.#bytes -= PART_BYTES + id.length;
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

/** Copies a text that would keep the header which it is a part of. */
function convertToOwnText(text: string): string {
  return text.length < MIN_SLICE_LENGTH
    ? text
    : Buffer.from(text, "utf8").toString("utf8");
}

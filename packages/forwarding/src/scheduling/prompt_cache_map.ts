/** Which prompt parts an endpoint is likely to keep. */

import type { Prompt, PromptPart } from "../model/call.ts";

/** Remembered parts are dropped, oldest first, beyond this share. */
const MEMORY_SHARE = 0.7;

/** The prompt parts that were sent to one endpoint, newest last. */
export class PromptCacheMap {
  readonly #parts = new Map<string, number>();
  #tokens = 0;

  /** Forgets everything, as the endpoint does at a restart. */
  clear(): void {
    this.#parts.clear();
    this.#tokens = 0;
  }

  /** Notes that the endpoint reads the parts of a prompt. */
  record(prompt: Prompt, memoryTokens: number): void {
    for (const part of listSharedParts(prompt)) {
      this.#tokens += part.tokens - (this.#parts.get(part.id) ?? 0);
      this.#parts.delete(part.id);
      this.#parts.set(part.id, part.tokens);
    }
    for (const [id, tokens] of this.#parts) {
      if (this.#tokens <= memoryTokens * MEMORY_SHARE) {
        return;
      }
      this.#parts.delete(id);
      this.#tokens -= tokens;
    }
  }

  /** Tokens of shared parts that the endpoint would have to read again. */
  countMissing(prompt: Prompt): number {
    let missing = 0;
    for (const part of listSharedParts(prompt)) {
      const isKept = missing === 0 && this.#parts.has(part.id);
      missing += isKept ? 0 : part.tokens;
    }
    return missing;
  }
}

/** The parts that other requests may share: all but the last. */
export function listSharedParts(prompt: Prompt): PromptPart[] {
  return prompt.parts.slice(0, -1);
}

/** The part by which requests are kept together; undefined for none. */
export function findHomePart(prompt: Prompt): PromptPart | undefined {
  return prompt.parts.at(-2) ?? prompt.parts.at(0);
}

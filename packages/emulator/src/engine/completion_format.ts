/** The JSON bodies of completions, whole and in chunks. */

import type { Generation } from "./generation.ts";

const CHARACTERS_PER_TOKEN = 4;
const FINISH_REASON = "stop";

/** The event that ends a whole stream. */
export const STREAM_END = "data: [DONE]\n\n";

/** Formats the answer of a call that is not streamed. */
export function buildCompletion(generation: Generation, model: string): object {
  const { attempt, isChat, tokens, firstOffset } = generation.request;
  const text = tokens.slice(firstOffset).join("");
  const content = isChat
    ? { message: { role: "assistant", content: text } }
    : { text };
  return {
    id: attempt,
    object: isChat ? "chat.completion" : "text_completion",
    model,
    choices: [{ index: 0, ...content, finish_reason: FINISH_REASON }],
    usage: buildUsage(generation),
  };
}

/** Formats the event of one token; `offset` counts the tokens up to it. */
export function formatTokenEvent(
  generation: Generation,
  offset: number,
  model: string,
): string {
  const text = generation.request.tokens[offset - 1] ?? "";
  const chunk = buildChunk(generation, { model, text, finishReason: null });
  return formatEvent(offset, chunk);
}

/** Formats the last chunk, which carries no text. */
export function formatFinishEvent(
  generation: Generation,
  model: string,
): string {
  const chunk = {
    ...buildChunk(generation, { model, text: "", finishReason: FINISH_REASON }),
    usage: buildUsage(generation),
  };
  return formatEvent(generation.request.tokens.length, chunk);
}

interface ChunkContent {
  model: string;
  text: string;
  finishReason: string | null;
}

function buildChunk(generation: Generation, content: ChunkContent): object {
  const { attempt, isChat } = generation.request;
  const text = isChat
    ? { delta: { role: "assistant", content: content.text } }
    : { text: content.text };
  return {
    id: attempt,
    object: isChat ? "chat.completion.chunk" : "text_completion",
    model: content.model,
    choices: [{ index: 0, ...text, finish_reason: content.finishReason }],
  };
}

function buildUsage(generation: Generation): object {
  const { prompt, tokens } = generation.request;
  const promptTokens = Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
  return {
    prompt_tokens: promptTokens,
    completion_tokens: tokens.length,
    total_tokens: promptTokens + tokens.length,
  };
}

function formatEvent(offset: number, chunk: object): string {
  return `id: ${offset}\ndata: ${JSON.stringify(chunk)}\n\n`;
}

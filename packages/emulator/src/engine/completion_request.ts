/** Reads a completion call into what the engine generates from. */

import { HttpProblem } from "../common/http_exchange.ts";
import type { JsonFields } from "../common/json_fields.ts";
import {
  type ChatMessage,
  formatChatPrompt,
  generateTokens,
} from "./answer_text.ts";
import type { GenerationRequest } from "./generation.ts";

const DEFAULT_MAX_TOKENS = 256;

/** A completion call as the engine understands it. */
export interface CompletionRequest {
  generation: GenerationRequest;
  model: string;
  isStream: boolean;
  /** The text whose start decides on the prefix cache. */
  prefixText: string;
}

/** Parses a completion call; throws an HttpProblem when it is malformed. */
export function parseCompletion(
  fields: JsonFields,
  options: { attempt: string; isChat: boolean },
): CompletionRequest {
  const messages = options.isChat ? parseMessages(fields) : [];
  const prompt = options.isChat
    ? formatChatPrompt(messages)
    : fields.string("prompt");
  const tokens = generateTokens(
    prompt,
    fields.number("max_tokens", DEFAULT_MAX_TOKENS),
  );
  const delivered = fields.get("continue_from") ?? "";
  const firstOffset = findOffset(tokens, String(delivered));
  return {
    generation: { ...options, prompt, tokens, firstOffset },
    model: fields.string("model"),
    isStream: fields.boolean("stream"),
    prefixText: messages[0]?.content ?? prompt,
  };
}

function parseMessages(fields: JsonFields): ChatMessage[] {
  return fields.objects("messages").map((message) => ({
    role: message.string("role"),
    content: message.string("content"),
  }));
}

/** Finds how many whole tokens a delivered text holds. */
function findOffset(tokens: readonly string[], delivered: string): number {
  let text = "";
  for (let offset = 0; offset <= tokens.length; offset++) {
    if (text === delivered) {
      return offset;
    }
    text += tokens[offset] ?? "";
  }
  throw new HttpProblem(
    400,
    "The text in continue_from is not the start of this prompt's answer",
  );
}

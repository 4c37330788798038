/** Parses completion chunks of engines and formats those sent to callers. */

import { EndpointError, EndpointErrorKind } from "@rattanvane/platform";
import { CompletionForm } from "./completion_request.ts";

/** Token counts of a completion. */
export interface Usage {
  promptTokens: number;
  completionTokens: number;
}

/** The fields of an engine's chunk that the ingress uses. */
export interface CompletionChunk {
  /** The text that this chunk adds; may be empty. */
  text: string;
  /** Why the completion ended; set only in the last chunk. */
  finishReason: string | undefined;
  usage: Usage | undefined;
}

/** Fields that all chunks of one completion share. */
export interface AnswerIdentity {
  request: string;
  form: CompletionForm;
  model: string;
  /** Seconds since the Unix epoch. */
  created: number;
}

/** Parses an engine's chunk; throws an EndpointError when it is malformed. */
export function parseChunk(data: string): CompletionChunk {
  const chunk = parseObject(data);
  const choice = Array.isArray(chunk.choices) ? chunk.choices[0] : undefined;
  if (typeof choice !== "object" || choice === null) {
    throw createMalformedChunkError();
  }
  const { text, delta, finish_reason: finishReason } = choice as RawChoice;
  return {
    text: text ?? delta?.content ?? "",
    finishReason: finishReason ?? undefined,
    usage: parseUsage(chunk.usage),
  };
}

/** Formats a chunk that carries new text, as JSON. */
export function formatTextChunk(
  identity: AnswerIdentity,
  text: string,
): string {
  return JSON.stringify({
    ...buildAnswerFields(identity, true),
    choices: [buildChunkChoice(identity.form, text)],
  });
}

/** Formats the last chunk, with finish reason and usage, as JSON. */
export function formatFinishChunk(
  identity: AnswerIdentity,
  options: { finishReason: string; usage: Usage },
): string {
  const choice = {
    ...buildChunkChoice(identity.form, ""),
    finish_reason: options.finishReason,
  };
  return JSON.stringify({
    ...buildAnswerFields(identity, true),
    choices: [choice],
    usage: buildUsage(options.usage),
  });
}

/** Builds the response body for a caller that did not request a stream. */
export function buildCompletionAnswer(
  identity: AnswerIdentity,
  options: { text: string; finishReason: string; usage: Usage },
): object {
  const content = identity.form === CompletionForm.Chat
    ? { message: { role: "assistant", content: options.text } }
    : { text: options.text };
  const choice = {
    index: 0,
    ...content,
    finish_reason: options.finishReason,
  };
  return {
    ...buildAnswerFields(identity, false),
    choices: [choice],
    usage: buildUsage(options.usage),
  };
}

interface RawChoice {
  text?: string;
  delta?: { content?: string };
  finish_reason?: string | null;
}

interface RawChunk {
  choices?: unknown;
  usage?: unknown;
}

function parseObject(data: string): RawChunk {
  let value: unknown;
  try {
    value = JSON.parse(data);
  } catch {
    throw createMalformedChunkError();
  }
  if (typeof value !== "object" || value === null) {
    throw createMalformedChunkError();
  }
  return value as RawChunk;
}

function parseUsage(value: unknown): Usage | undefined {
  if (typeof value !== "object" || value === null) {
    return undefined;
  }
  const usage = value as {
    prompt_tokens?: number;
    completion_tokens?: number;
  };
  return {
    promptTokens: Number(usage.prompt_tokens ?? 0),
    completionTokens: Number(usage.completion_tokens ?? 0),
  };
}

function buildAnswerFields(identity: AnswerIdentity, isChunk: boolean): object {
  const isChat = identity.form === CompletionForm.Chat;
  const object = isChat
    ? (isChunk ? "chat.completion.chunk" : "chat.completion")
    : "text_completion";
  return {
    id: identity.request,
    object,
    created: identity.created,
    model: identity.model,
  };
}

function buildChunkChoice(form: CompletionForm, text: string): object {
  const content = form === CompletionForm.Chat
    ? { delta: text === "" ? {} : { content: text } }
    : { text };
  return { index: 0, ...content, finish_reason: null };
}

function buildUsage(usage: Usage): object {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.completionTokens,
    total_tokens: usage.promptTokens + usage.completionTokens,
  };
}

function createMalformedChunkError(): EndpointError {
  return new EndpointError(
    EndpointErrorKind.BadResponse,
    "The engine sent an event that is not a completion chunk",
  );
}

/** Chunks of a streamed completion, from engines and to callers. */

import { EndpointError, EndpointErrorKind } from "@rattanvane/platform";
import { CompletionForm } from "./completion_request.ts";

/** The token counts of an answer. */
export interface Usage {
  promptTokens: number;
  completionTokens: number;
}

/** What the ingress needs of an engine's chunk. */
export interface CompletionChunk {
  /** The new text; may be empty. */
  text: string;
  /** Why the answer ended; only in the last chunk. */
  finishReason: string | undefined;
  usage: Usage | undefined;
}

/** Identifies an answer towards its caller. */
export interface AnswerIdentity {
  request: string;
  form: CompletionForm;
  model: string;
  /** Seconds since the Unix epoch. */
  created: number;
}

/** Reads an engine's chunk; throws an EndpointError when it is none. */
export function parseChunk(data: string): CompletionChunk {
  const chunk = parseObject(data);
  const choice = Array.isArray(chunk.choices) ? chunk.choices[0] : undefined;
  if (typeof choice !== "object" || choice === null) {
    throw createChunkError();
  }
  const { text, delta, finish_reason: finishReason } = choice as RawChoice;
  return {
    text: text ?? delta?.content ?? "",
    finishReason: finishReason ?? undefined,
    usage: readUsage(chunk.usage),
  };
}

/** Formats a chunk of new text for the caller. */
export function formatTextChunk(
  identity: AnswerIdentity,
  text: string,
): string {
  return JSON.stringify({
    ...describeIdentity(identity, true),
    choices: [describeChunkChoice(identity.form, text)],
  });
}

/** Formats the last chunk for the caller. */
export function formatFinishChunk(
  identity: AnswerIdentity,
  options: { finishReason: string; usage: Usage },
): string {
  const choice = {
    ...describeChunkChoice(identity.form, ""),
    finish_reason: options.finishReason,
  };
  return JSON.stringify({
    ...describeIdentity(identity, true),
    choices: [choice],
    usage: describeUsage(options.usage),
  });
}

/** Describes a whole answer for a caller who wants no stream. */
export function describeWholeAnswer(
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
    ...describeIdentity(identity, false),
    choices: [choice],
    usage: describeUsage(options.usage),
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
    throw createChunkError();
  }
  if (typeof value !== "object" || value === null) {
    throw createChunkError();
  }
  return value as RawChunk;
}

function readUsage(value: unknown): Usage | undefined {
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

function describeIdentity(identity: AnswerIdentity, chunk: boolean): object {
  const chat = identity.form === CompletionForm.Chat;
  const object = chat
    ? (chunk ? "chat.completion.chunk" : "chat.completion")
    : "text_completion";
  return {
    id: identity.request,
    object,
    created: identity.created,
    model: identity.model,
  };
}

function describeChunkChoice(form: CompletionForm, text: string): object {
  const content = form === CompletionForm.Chat
    ? { delta: text === "" ? {} : { content: text } }
    : { text };
  return { index: 0, ...content, finish_reason: null };
}

function describeUsage(usage: Usage): object {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.completionTokens,
    total_tokens: usage.promptTokens + usage.completionTokens,
  };
}

function createChunkError(): EndpointError {
  return new EndpointError(
    EndpointErrorKind.BadResponse,
    "The engine sent an event that is no completion chunk",
  );
}

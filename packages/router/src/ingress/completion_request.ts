/** Parses completion requests of callers and encodes those sent to engines. */

import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { CallerError, CallerErrorKind } from "../caller/caller_error.ts";

/**
 * Prompts that start with the same characters can share an engine's prefix
 * cache.
 */
const PREFIX_CHARACTERS = 64;
const PREFIX_HASH_CHARACTERS = 11;
/** Rough ratio, for estimates of prompt sizes. */
const CHARACTERS_PER_TOKEN = 4;

/** The two completion APIs: chat messages or a text prompt. */
export enum CompletionForm {
  Chat = "chat",
  Text = "text",
}

/** Path of each API, the same for callers and for engines. */
export const COMPLETION_PATHS: Record<CompletionForm, string> = {
  [CompletionForm.Chat]: "/v1/chat/completions",
  [CompletionForm.Text]: "/v1/completions",
};

/** A completion request; the fields that the router uses are validated. */
export interface CompletionRequest {
  form: CompletionForm;
  model: string;
  /** Whether the caller requested a streamed response. */
  stream: boolean;
  /** 0 when the caller has set no limit. */
  maximumTokens: number;
  /** Hash of the start of the prompt. */
  prefix: string;
  /** Estimated number of prompt tokens. */
  promptTokens: number;
  /** All fields of the request body, as received. */
  fields: Readonly<Record<string, unknown>>;
}

/** Parses a completion request; throws a CallerError when it is malformed. */
export function parseCompletionRequest(
  form: CompletionForm,
  body: Uint8Array,
): CompletionRequest {
  const fields = parseObject(body);
  const prompt = form === CompletionForm.Chat
    ? readChatPrompt(fields.messages)
    : readString(fields.prompt, "prompt");
  return {
    form,
    model: readString(fields.model, "model"),
    stream: readOptionalFlag(fields.stream, "stream"),
    maximumTokens: readOptionalCount(fields.max_tokens, "max_tokens"),
    prefix: hashPrefix(prompt),
    promptTokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN),
    fields,
  };
}

/**
 * Encodes the request body for an engine. The engine continues after the text
 * that has already been delivered to the caller.
 */
export function encodeEngineBody(
  request: CompletionRequest,
  deliveredText: string,
): Uint8Array {
  const body: Record<string, unknown> = { ...request.fields, stream: true };
  delete body.continue_from;
  if (deliveredText !== "") {
    body.continue_from = deliveredText;
  }
  return Buffer.from(JSON.stringify(body));
}

function parseObject(body: Uint8Array): Record<string, unknown> {
  let value: unknown;
  try {
    value = JSON.parse(Buffer.from(body).toString("utf8"));
  } catch (thrown) {
    throw createMalformedBodyError("The body is not JSON", thrown);
  }
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    throw createMalformedBodyError("The body is not a JSON object");
  }
  return value as Record<string, unknown>;
}

function readString(value: unknown, field: string): string {
  if (typeof value !== "string" || value === "") {
    throw createMalformedBodyError(
      `The field "${field}" must be a non-empty string`,
    );
  }
  return value;
}

function readOptionalFlag(value: unknown, field: string): boolean {
  if (value === undefined || value === null) {
    return false;
  }
  if (typeof value !== "boolean") {
    throw createMalformedBodyError(
      `The field "${field}" must be true or false`,
    );
  }
  return value;
}

function readOptionalCount(value: unknown, field: string): number {
  if (value === undefined || value === null) {
    return 0;
  }
  if (typeof value !== "number" || !Number.isInteger(value) || value < 1) {
    throw createMalformedBodyError(
      `The field "${field}" must be a whole number of at least 1`,
    );
  }
  return value;
}

/** Joins the contents of all chat messages into one prompt. */
function readChatPrompt(value: unknown): string {
  if (!Array.isArray(value) || value.length === 0) {
    throw createMalformedBodyError(
      'The field "messages" must be a list with at least one message',
    );
  }
  return value.map(readContent).join("\n");
}

function readContent(message: unknown): string {
  const content = typeof message === "object" && message !== null &&
      "content" in message
    ? message.content
    : undefined;
  if (typeof content !== "string") {
    throw createMalformedBodyError('Each message must have a string "content"');
  }
  return content;
}

function hashPrefix(prompt: string): string {
  return createHash("sha256")
    .update(prompt.slice(0, PREFIX_CHARACTERS))
    .digest("base64url")
    .slice(0, PREFIX_HASH_CHARACTERS);
}

function createMalformedBodyError(
  problem: string,
  cause?: unknown,
): CallerError {
  return new CallerError(CallerErrorKind.MalformedBody, problem, { cause });
}

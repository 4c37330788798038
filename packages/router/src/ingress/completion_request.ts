/** Completion requests as callers send them. */

import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { CallerError, CallerErrorKind } from "../caller/caller_error.ts";

/** Two prompts with the same first characters share an engine's cache. */
const PREFIX_CHARACTERS = 64;
const PREFIX_HASH_CHARACTERS = 11;
const CHARACTERS_PER_TOKEN = 4;

/** The two forms of completions. */
export enum CompletionForm {
  Chat = "chat",
  Text = "text",
}

/** The path of each form, at callers and at engines. */
export const COMPLETION_PATHS: Record<CompletionForm, string> = {
  [CompletionForm.Chat]: "/v1/chat/completions",
  [CompletionForm.Text]: "/v1/completions",
};

/** A completion request whose parts that matter here have been checked. */
export interface CompletionRequest {
  form: CompletionForm;
  model: string;
  /** Whether the caller wants a stream. */
  stream: boolean;
  /** 0 when the caller sets no limit. */
  maximumTokens: number;
  /** The start of the prompt, hashed. */
  prefix: string;
  /** A rough count of the prompt's tokens. */
  promptTokens: number;
  /** Everything that the caller sent. */
  fields: Readonly<Record<string, unknown>>;
}

/** Reads a completion request; throws a CallerError. */
export function parseCompletionRequest(
  form: CompletionForm,
  body: Uint8Array,
): CompletionRequest {
  const fields = parseObject(body);
  const prompt = form === CompletionForm.Chat
    ? readMessages(fields.messages)
    : readText(fields.prompt, "prompt");
  return {
    form,
    model: readText(fields.model, "model"),
    stream: readOptionalFlag(fields.stream, "stream"),
    maximumTokens: readOptionalCount(fields.max_tokens, "max_tokens"),
    prefix: hashPrefix(prompt),
    promptTokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN),
    fields,
  };
}

/** Builds the body for an engine, going on behind text already delivered. */
export function encodeEngineBody(
  request: CompletionRequest,
  delivered: string,
): Uint8Array {
  const body: Record<string, unknown> = { ...request.fields, stream: true };
  delete body.continue_from;
  if (delivered !== "") {
    body.continue_from = delivered;
  }
  return Buffer.from(JSON.stringify(body));
}

function parseObject(body: Uint8Array): Record<string, unknown> {
  let value: unknown;
  try {
    value = JSON.parse(Buffer.from(body).toString("utf8"));
  } catch (thrown) {
    throw createMalformedError("The body is not JSON", thrown);
  }
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    throw createMalformedError("The body is not a JSON object");
  }
  return value as Record<string, unknown>;
}

function readText(value: unknown, field: string): string {
  if (typeof value !== "string" || value === "") {
    throw createMalformedError(`The field "${field}" must be a text`);
  }
  return value;
}

function readOptionalFlag(value: unknown, field: string): boolean {
  if (value === undefined || value === null) {
    return false;
  }
  if (typeof value !== "boolean") {
    throw createMalformedError(`The field "${field}" must be true or false`);
  }
  return value;
}

function readOptionalCount(value: unknown, field: string): number {
  if (value === undefined || value === null) {
    return 0;
  }
  if (typeof value !== "number" || !Number.isInteger(value) || value < 1) {
    throw createMalformedError(
      `The field "${field}" must be a whole number of at least 1`,
    );
  }
  return value;
}

/** Joins the contents of a chat's messages. */
function readMessages(value: unknown): string {
  if (!Array.isArray(value) || value.length === 0) {
    throw createMalformedError(
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
    throw createMalformedError('Each message must have a text "content"');
  }
  return content;
}

function hashPrefix(prompt: string): string {
  return createHash("sha256")
    .update(prompt.slice(0, PREFIX_CHARACTERS))
    .digest("base64url")
    .slice(0, PREFIX_HASH_CHARACTERS);
}

function createMalformedError(problem: string, cause?: unknown): CallerError {
  return new CallerError(CallerErrorKind.MalformedBody, problem, { cause });
}

/** An endpoint client that returns predefined responses. */

import {
  EndpointClient,
  EndpointError,
  EndpointErrorKind,
  type EndpointRequest,
  type EndpointResponse,
  type LoadReport,
} from "@rattanvane/platform";
import { err, ok, type Result } from "neverthrow";

/** A streamed response, or the error that is returned instead. */
export interface ScriptedAnswer {
  error?: EndpointErrorKind;
  status?: number;
  /** The body's parts. */
  parts?: string[];
  /** Fails the body with an error after its parts. */
  isTruncated?: boolean;
}

/** Returns the next predefined response to each call. */
export class ScriptedEndpoint extends EndpointClient {
  readonly requests: EndpointRequest[] = [];
  readonly resumedOffsets: number[] = [];
  readonly cancelled: string[] = [];
  readonly #answers: ScriptedAnswer[];
  readonly #resumeAnswers: ScriptedAnswer[];

  constructor(
    answers: readonly ScriptedAnswer[],
    resumes: readonly ScriptedAnswer[] = [],
  ) {
    super();
    this.#answers = [...answers];
    this.#resumeAnswers = [...resumes];
  }

  override send(
    _address: object,
    request: EndpointRequest,
  ): Promise<Result<EndpointResponse, EndpointError>> {
    this.requests.push(request);
    return Promise.resolve(createResponse(this.#answers.shift()));
  }

  override resume(
    _address: object,
    request: { offset: number },
  ): Promise<Result<EndpointResponse, EndpointError>> {
    this.resumedOffsets.push(request.offset);
    return Promise.resolve(createResponse(this.#resumeAnswers.shift()));
  }

  override cancel(
    _address: object,
    attempt: string,
  ): Promise<Result<void, EndpointError>> {
    this.cancelled.push(attempt);
    return Promise.resolve(ok(undefined));
  }

  override readLoad(): Promise<Result<LoadReport, EndpointError>> {
    return Promise.resolve(err(createError(EndpointErrorKind.NotSent)));
  }
}

/** Formats the server-sent event of one token as engines send it. */
export function formatToken(offset: number, text: string): string {
  const chunk = { choices: [{ text, finish_reason: null }] };
  return `id: ${offset}\ndata: ${JSON.stringify(chunk)}\n\n`;
}

/** Formats the final events of a complete stream. */
export function formatEnd(offset: number): string {
  const chunk = {
    choices: [{ text: "", finish_reason: "stop" }],
    usage: { prompt_tokens: 3, completion_tokens: offset },
  };
  return `id: ${offset}\ndata: ${JSON.stringify(chunk)}\n\ndata: [DONE]\n\n`;
}

function createResponse(
  answer: ScriptedAnswer | undefined,
): Result<EndpointResponse, EndpointError> {
  if (answer === undefined || answer.error !== undefined) {
    return err(createError(answer?.error ?? EndpointErrorKind.Lost));
  }
  return ok({
    status: answer.status ?? 200,
    headers: [],
    bootId: "boot-1",
    body: createBody(answer),
  });
}

async function* createBody(answer: ScriptedAnswer): AsyncIterable<Uint8Array> {
  const encoder = new TextEncoder();
  for (const part of answer.parts ?? []) {
    yield await Promise.resolve(encoder.encode(part));
  }
  if (answer.isTruncated === true) {
    throw createError(EndpointErrorKind.Lost);
  }
}

function createError(kind: EndpointErrorKind): EndpointError {
  return new EndpointError(kind, "The script says so");
}

/** Reads of the platform that answer with one JSON object. */

import { err, type Result } from "neverthrow";
import type { z } from "zod";
import { type PlatformError, PlatformErrorKind } from "../platform_error.ts";
import { createStatusError, parseAnswer } from "./platform_answers.ts";
import { PlatformCallKind } from "./platform_call.ts";
import type { PlatformTransport } from "./platform_transport.ts";

const STATUS_OK = 200;

/** What is read, and what the answer must look like. */
export interface ReadPageOptions<Value> {
  path: string;
  schema: z.ZodType<Value>;
}

/** Reads and checks; a wrong status or shape is a BadResponse. */
export async function readPage<Value>(
  transport: PlatformTransport,
  options: ReadPageOptions<Value>,
  signal: AbortSignal,
): Promise<Result<Value, PlatformError>> {
  const answer = await transport.run({
    kind: PlatformCallKind.Read,
    method: "GET",
    path: options.path,
  }, signal);
  if (answer.isErr()) {
    return err(answer.error);
  }
  const errorKind = PlatformErrorKind.BadResponse;
  if (answer.value.status !== STATUS_OK) {
    return err(createStatusError(answer.value, errorKind));
  }
  return parseAnswer(answer.value, { schema: options.schema, errorKind });
}

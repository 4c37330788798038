/** Platform reads whose response is a single JSON object. */

import { err, type Result } from "neverthrow";
import type { z } from "zod";
import { type PlatformError, PlatformErrorKind } from "../platform_error.ts";
import { createStatusError, parseAnswer } from "./platform_answers.ts";
import { PlatformCallKind } from "./platform_call.ts";
import type { PlatformTransport } from "./platform_transport.ts";

const STATUS_OK = 200;

/** The path to read, and the schema that the response must match. */
export interface ReadPageOptions<Value> {
  path: string;
  schema: z.ZodType<Value>;
}

/** Reads a page and validates it; an unexpected status or schema mismatch is a
 * BadResponse. */
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

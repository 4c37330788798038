/** Parsing and validation of the platform's responses. */

import { describeError } from "@rattanvane/base";
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import { PlatformError, PlatformErrorKind } from "../platform_error.ts";
import type { PlatformAnswer } from "./platform_call.ts";

/** Parses and validates a JSON response; errors have the given kind. */
export function parseAnswer<Value>(
  answer: PlatformAnswer,
  options: { schema: z.ZodType<Value>; errorKind: PlatformErrorKind },
): Result<Value, PlatformError> {
  try {
    const text = new TextDecoder("utf-8", { fatal: true }).decode(answer.body);
    const parsed = options.schema.safeParse(JSON.parse(text));
    if (parsed.success) {
      return ok(parsed.data);
    }
    return err(createError(options.errorKind, parsed.error.message));
  } catch (thrown) {
    return err(createError(options.errorKind, describeError(thrown)));
  }
}

/** Creates the error for a status that the protocol does not define. */
export function createStatusError(
  answer: PlatformAnswer,
  errorKind: PlatformErrorKind,
): PlatformError {
  return createError(errorKind, `status ${answer.status}`);
}

function createError(kind: PlatformErrorKind, detail: string): PlatformError {
  return new PlatformError(
    kind,
    `Cannot use the platform's answer: ${detail}`,
  );
}

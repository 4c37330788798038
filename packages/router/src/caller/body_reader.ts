/** Reads request bodies with size and time limits. */

import type { IncomingMessage } from "node:http";
import {
  ByteCollector,
  type Clock,
  Deferred,
  runWithDeadline,
} from "@rattanvane/base";
import { type CallerShare, HeldKind } from "@rattanvane/limits";
import { CallerError, CallerErrorKind } from "./caller_error.ts";

/** Size and time limits of a request body. */
export interface ReadBodyOptions {
  maximumBytes: number;
  timeoutMilliseconds: number;
  clock: Clock;
  /** Counts the body's bytes, also after it was read. */
  share: CallerShare;
}

const RETRY_AFTER_MILLISECONDS = 1_000;

/**
 * Reads a complete request body. Throws a CallerError when it is too long, too
 * slow or truncated.
 */
export async function readBody(
  request: IncomingMessage,
  options: ReadBodyOptions,
  signal: AbortSignal,
): Promise<Uint8Array> {
  const contentLength = Number(request.headers["content-length"] ?? 0);
  if (contentLength > options.maximumBytes) {
    throw createTooLongError(options.maximumBytes);
  }
  const expired = new Deferred<Uint8Array>();
  options.share.release = () => expired.reject(createMemoryError());
  const body = await runWithDeadline(
    () => Promise.race([collectBody(request, options), expired.promise]),
    {
      clock: options.clock,
      milliseconds: options.timeoutMilliseconds,
      expire: () => expired.reject(createTooSlowError(options)),
    },
    signal,
  );
  if (!options.share.run()) {
    throw createMemoryError();
  }
  return body;
}

async function collectBody(
  request: IncomingMessage,
  { maximumBytes, share }: ReadBodyOptions,
): Promise<Uint8Array> {
  const body = new ByteCollector();
  // The error response to an invalid body is sent on the same connection, so
  // ending the iteration must not destroy it.
  const parts = request.iterator({ destroyOnReturn: false });
  try {
    for await (const chunk of parts) {
      const bytes = chunk as Uint8Array;
      if (body.length + bytes.length > maximumBytes) {
        throw createTooLongError(maximumBytes);
      }
      body.append(bytes);
      share.update(HeldKind.Body, body.capacity);
    }
  } catch (thrown) {
    throw thrown instanceof CallerError ? thrown : createTruncatedError(thrown);
  }
  return body.take();
}

function createTruncatedError(cause: unknown): CallerError {
  return new CallerError(
    CallerErrorKind.MalformedRequest,
    "The connection closed before the end of the body",
    { cause },
  );
}

function createMemoryError(): CallerError {
  return new CallerError(
    CallerErrorKind.QueueFull,
    "This VM holds too many bytes of request bodies",
    { retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS },
  );
}

function createTooLongError(maximumBytes: number): CallerError {
  return new CallerError(
    CallerErrorKind.BodyTooLong,
    `Cannot accept a body of more than ${maximumBytes} bytes`,
  );
}

function createTooSlowError(options: ReadBodyOptions): CallerError {
  return new CallerError(
    CallerErrorKind.BodyTooSlow,
    `The body did not arrive within ${options.timeoutMilliseconds} ms`,
  );
}

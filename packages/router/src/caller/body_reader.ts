/** Reads request bodies within their limits. */

import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { type Clock, Deferred, runWithDeadline } from "@rattanvane/base";
import { CallerError, CallerErrorKind } from "./caller_error.ts";

/** The limits of a request body. */
export interface ReadBodyOptions {
  maximumBytes: number;
  timeoutMilliseconds: number;
  clock: Clock;
}

/** Reads a whole body; throws a CallerError when it breaks a limit. */
export async function readBody(
  request: IncomingMessage,
  options: ReadBodyOptions,
  signal: AbortSignal,
): Promise<Uint8Array> {
  const announced = Number(request.headers["content-length"] ?? 0);
  if (announced > options.maximumBytes) {
    throw createTooLongError(options.maximumBytes);
  }
  const expired = new Deferred<Uint8Array>();
  return await runWithDeadline(
    () => Promise.race([collectBody(request, options), expired.promise]),
    {
      clock: options.clock,
      milliseconds: options.timeoutMilliseconds,
      expire: () => expired.reject(createTooSlowError(options)),
    },
    signal,
  );
}

async function collectBody(
  request: IncomingMessage,
  { maximumBytes }: ReadBodyOptions,
): Promise<Uint8Array> {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  // The answer to a bad body still needs the connection, so it stays open.
  const parts = request.iterator({ destroyOnReturn: false });
  try {
    for await (const chunk of parts) {
      bytes += (chunk as Uint8Array).length;
      if (bytes > maximumBytes) {
        throw createTooLongError(maximumBytes);
      }
      chunks.push(chunk as Uint8Array);
    }
  } catch (thrown) {
    throw thrown instanceof CallerError ? thrown : createBrokenError(thrown);
  }
  return Buffer.concat(chunks);
}

function createBrokenError(cause: unknown): CallerError {
  return new CallerError(
    CallerErrorKind.MalformedRequest,
    "The body broke off before its end",
    { cause },
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

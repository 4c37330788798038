/** Reads complete HTTP bodies up to a size limit. */

import { ByteCollector } from "@rattanvane/base";

/** Thrown when a body exceeds its size limit. */
export class BodyTooLongError extends Error {
  constructor(limitBytes: number) {
    super(`The body is longer than ${limitBytes} bytes`);
  }
}

/** Reads a complete body; throws BodyTooLongError above the limit, and rethrows
 * errors of the body itself. */
export async function readBody(
  body: AsyncIterable<Uint8Array>,
  limitBytes: number,
): Promise<Uint8Array> {
  const collected = new ByteCollector();
  for await (const chunk of body) {
    if (collected.length + chunk.byteLength > limitBytes) {
      throw new BodyTooLongError(limitBytes);
    }
    collected.append(chunk);
  }
  return collected.take();
}

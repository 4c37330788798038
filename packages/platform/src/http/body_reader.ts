/** Reads complete HTTP bodies up to a size limit. */

import { Buffer } from "node:buffer";

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
  const chunks: Uint8Array[] = [];
  let totalBytes = 0;
  for await (const chunk of body) {
    totalBytes += chunk.byteLength;
    if (totalBytes > limitBytes) {
      throw new BodyTooLongError(limitBytes);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks, totalBytes);
}

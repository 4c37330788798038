/** Reads whole bodies of limited size. */

import { Buffer } from "node:buffer";

/** The body is longer than its limit. */
export class BodyTooLongError extends Error {
  constructor(limitBytes: number) {
    super(`The body is longer than ${limitBytes} bytes`);
  }
}

/** Reads a body whole; throws BodyTooLongError, or the body's own error. */
export async function readBody(
  body: AsyncIterable<Uint8Array>,
  limitBytes: number,
): Promise<Uint8Array> {
  const chunks: Uint8Array[] = [];
  let total = 0;
  for await (const chunk of body) {
    total += chunk.byteLength;
    if (total > limitBytes) {
      throw new BodyTooLongError(limitBytes);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks, total);
}

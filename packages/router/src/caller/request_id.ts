/** Request ids. */

import { randomBytes } from "node:crypto";

const REQUEST_ID_BYTES = 16;

/**
 * Creates an id that is unique in the fleet. It is short because control
 * messages carry it.
 */
export function createRequestId(): string {
  return randomBytes(REQUEST_ID_BYTES).toString("base64url");
}

/** Keys with a date, as callers make them up. */

import { randomUUID } from "node:crypto";

const TIME_DIGITS = 12;
const HEXADECIMAL = 16;

/** Generates a UUIDv7 for a time in milliseconds since the Unix epoch. */
export function generateDatedKey(wallTime: number): string {
  const time = Math.floor(wallTime).toString(HEXADECIMAL)
    .padStart(TIME_DIGITS, "0");
  const [, , version = "", variant, node] = randomUUID().split("-");
  const first = time.slice(0, 8);
  const second = time.slice(8);
  return `${first}-${second}-7${version.slice(1)}-${variant}-${node}`;
}

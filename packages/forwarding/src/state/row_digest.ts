/** An order-independent digest of a set of versioned rows. */

import { createHash } from "node:crypto";

const DIGEST_BYTES = 8;

/**
 * Keeps the digest of a set of rows: the sum of the rows' hashes. Adding and
 * removing a row takes the same time for any number of rows.
 */
export class RowDigest {
  #sum = 0n;

  /** Adds a row. */
  add(key: string, version: number): void {
    this.#sum = BigInt.asUintN(
      DIGEST_BYTES * 8,
      this.#sum + hashRow(key, version),
    );
  }

  /** Removes a row that was added before. */
  remove(key: string, version: number): void {
    this.#sum = BigInt.asUintN(
      DIGEST_BYTES * 8,
      this.#sum - hashRow(key, version),
    );
  }

  /** The digest; equal for equal sets of rows. */
  get text(): string {
    return this.#sum.toString(16).padStart(DIGEST_BYTES * 2, "0");
  }
}

function hashRow(key: string, version: number): bigint {
  const digest = createHash("sha256").update(`${key}\n${version}`).digest();
  return digest.readBigUInt64BE(0);
}

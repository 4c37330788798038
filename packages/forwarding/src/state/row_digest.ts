/** An order-independent digest of a set of rows. */

import { createHash } from "node:crypto";
import type { FeedRow } from "@rattanvane/platform";

const DIGEST_BYTES = 8;

/**
 * Keeps the digest of a set of rows: the sum of the rows' hashes. Adding and
 * removing a row takes the same time for any number of rows. Values are part of
 * the hashes, since a store that comes back from a copy gives versions out again.
 */
export class RowDigest {
  readonly #hashes = new Map<string, bigint>();
  #sum = 0n;

  /** Adds a row, in place of the one with the same key. */
  add(row: FeedRow): void {
    this.remove(row.key);
    const hash = hashRow(row);
    this.#hashes.set(row.key, hash);
    this.#sum = BigInt.asUintN(DIGEST_BYTES * 8, this.#sum + hash);
  }

  /** Removes the row with a key. */
  remove(key: string): void {
    const hash = this.#hashes.get(key);
    if (hash !== undefined) {
      this.#hashes.delete(key);
      this.#sum = BigInt.asUintN(DIGEST_BYTES * 8, this.#sum - hash);
    }
  }

  /** The digest; equal for equal sets of rows. */
  get text(): string {
    return this.#sum.toString(16).padStart(DIGEST_BYTES * 2, "0");
  }
}

function hashRow({ key, version, value }: FeedRow): bigint {
  const digest = createHash("sha256").update(`${key}\n${version}\n`)
    .update(value).digest();
  return digest.readBigUInt64BE(0);
}

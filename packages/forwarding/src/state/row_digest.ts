/** An order-independent digest of a set of rows. */

import { createHash } from "node:crypto";
import type { FeedRow } from "@rattanvane/platform";

const DIGEST_BYTES = 8;

/**
 * Keeps the digest of a set of rows: the sum of the rows' hashes. Adding and
 * removing a row takes the same time for any number of rows.
 */
export class RowDigest {
  readonly #includesValues: boolean;
  readonly #hashes = new Map<string, bigint>();
  #sum = 0n;

  /**
   * Creates the digest of no rows.
   *
   * @param includesValues whether rows with the same key and version may differ,
   * as in a store that gives versions out again
   */
  constructor(includesValues = false) {
    this.#includesValues = includesValues;
  }

  /** Adds a row, in place of the one with the same key. */
  add(row: FeedRow): void {
    this.remove(row.key);
    const hash = this.#hash(row);
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

  #hash({ key, version, value }: FeedRow): bigint {
    const hash = createHash("sha256").update(`${key}\n${version}`);
    if (this.#includesValues) {
      hash.update("\n").update(value);
    }
    return hash.digest().readBigUInt64BE(0);
  }

  /** The digest; equal for equal sets of rows. */
  get text(): string {
    return this.#sum.toString(16).padStart(DIGEST_BYTES * 2, "0");
  }
}

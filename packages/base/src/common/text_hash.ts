/** Fast hashes of texts that are not cryptographic. */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Hashes a text to an unsigned integer of 32 bits (FNV-1a). */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
}

/**
 * Computes a score below 2^32 from two hashes. The scores of one hash with many
 * others are independent of each other, as rendezvous hashing needs it.
 */
export function computePairScore(first: number, second: number): number {
  let mixed = first ^ Math.imul(second, 0x9e3779b1);
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

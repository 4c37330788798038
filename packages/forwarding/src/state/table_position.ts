/** Positions in the history of the store. */

/**
 * A version of the store with the era in which it was given out. A store that
 * comes back from a copy begins a new era and gives versions out again.
 */
export interface TablePosition {
  era: number;
  version: number;
}

/** Orders two positions by era, then by version; the earlier one first. */
export function comparePositions(
  first: TablePosition,
  second: TablePosition,
): number {
  return first.era - second.era || first.version - second.version;
}

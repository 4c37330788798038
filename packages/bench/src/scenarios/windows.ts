/** Windows over series of slices of time. */

/** Two organisations' normalised service by slice. */
export interface ServicePair {
  first: readonly number[];
  second: readonly number[];
}

/** The window in which two organisations were furthest apart. */
export interface WindowGap {
  /** The difference of their normalised service. */
  gap: number;
  /** The mean of the two in that window. */
  mean: number;
  /** The difference divided by the mean. */
  fraction: number;
}

/** Finds the largest gap over all windows of so many slices. */
export function computeLargestGap(
  { first, second }: ServicePair,
  slices: number,
): WindowGap {
  let largest: WindowGap = { gap: 0, mean: 0, fraction: 0 };
  const last = Math.min(first.length, second.length) - slices;
  for (let from = 0; from <= last; from++) {
    const one = sumSlices(first, { from, to: from + slices });
    const other = sumSlices(second, { from, to: from + slices });
    const gap = Math.abs(one - other);
    if (gap > largest.gap) {
      const mean = (one + other) / 2;
      largest = { gap, mean, fraction: gap / mean };
    }
  }
  return largest;
}

/** Sums slices from one up to, and without, another. */
export function sumSlices(
  slices: readonly number[],
  { from, to }: { from: number; to: number },
): number {
  return slices.slice(from, to).reduce((total, each) => total + each, 0);
}

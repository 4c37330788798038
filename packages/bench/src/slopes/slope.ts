/** A cost measured at several sizes, and the line through it. */

/** One measured size. */
export interface SlopePoint {
  size: number;
  /** The whole cost at this size. */
  value: number;
}

/** A cost that grows with a size. */
export interface Slope {
  /** What is measured, for example `a grant`. */
  name: string;
  /** What the sizes count. */
  sizeUnit: string;
  /** The unit of the cost. */
  unit: string;
  points: readonly SlopePoint[];
}

/** A line by least squares. */
export interface Line {
  /** Cost for each one of the size's unit. */
  perUnit: number;
  /** Cost at size 0. */
  fixed: number;
  /** The largest distance of a point from the line, relative to the point. */
  largestDeviation: number;
}

/** Computes the line by relative least squares, so that no size dominates. */
export function computeLine(points: readonly SlopePoint[]): Line {
  const sums = { weight: 0, size: 0, value: 0, squares: 0, products: 0 };
  for (const { size, value } of points) {
    const weight = value === 0 ? 1 : 1 / (value * value);
    sums.weight += weight;
    sums.size += weight * size;
    sums.value += weight * value;
    sums.squares += weight * size * size;
    sums.products += weight * size * value;
  }
  const spread = sums.weight * sums.squares - sums.size * sums.size;
  const perUnit = spread === 0
    ? 0
    : (sums.weight * sums.products - sums.size * sums.value) / spread;
  const fixed = (sums.value - perUnit * sums.size) / sums.weight;
  const deviations = points.map(({ size, value }) =>
    Math.abs(value - fixed - perUnit * size) / Math.max(Math.abs(value), 1e-9)
  );
  return { perUnit, fixed, largestDeviation: Math.max(0, ...deviations) };
}

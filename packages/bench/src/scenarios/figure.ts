/** What a scenario measures: figures with a baseline and a target. */

/** How a figure is compared with its target. */
export enum TargetKind {
  AtLeast = "at least",
  AtMost = "at most",
}

/** What a figure has to reach. */
export interface Target {
  kind: TargetKind;
  value: number;
}

/** One measured figure. */
export interface Figure {
  name: string;
  unit: string;
  value: number;
  /** The same figure of the scenario's baseline. */
  baseline?: number;
  target?: Target;
}

/** A scenario's figures. */
export interface ScenarioReport {
  scenario: string;
  baseline: string;
  seed: number;
  seconds: number;
  figures: readonly Figure[];
}

/** The figure divided by its baseline; undefined without a baseline. */
export function computeRatio(figure: Figure): number | undefined {
  const { value, baseline } = figure;
  return baseline === undefined || baseline === 0
    ? undefined
    : value / baseline;
}

/** Whether a figure reaches its target; undefined without a target. */
export function judgeFigure({ value, target }: Figure): boolean | undefined {
  if (target === undefined || Number.isNaN(value)) {
    return target === undefined ? undefined : false;
  }
  return target.kind === TargetKind.AtLeast
    ? value >= target.value
    : value <= target.value;
}

/** Finds a percentile of values; NaN when there are none. */
export function computePercentile(
  values: readonly number[],
  percent: number,
): number {
  const sorted = [...values].sort((first, second) => first - second);
  const rank = Math.ceil((percent / 100) * sorted.length) - 1;
  return sorted[Math.max(0, rank)] ?? NaN;
}

/** Computes the mean; NaN when there are no values. */
export function computeMean(values: readonly number[]): number {
  return values.reduce((total, each) => total + each, 0) / values.length;
}

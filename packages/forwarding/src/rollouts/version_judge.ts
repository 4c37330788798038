/** Judges a new version by its answers, compared with the former version's. */

import type { VersionStatistics } from "@rattanvane/protocol";
import {
  createStatistics,
  mergeStatistics,
  VersionSide,
} from "./answer_statistics.ts";

/** Standard deviations by which a difference must exceed chance. */
const MIN_DEVIATIONS = 4;
/** The same for each half of the new version's endpoints. */
const MIN_HALF_DEVIATIONS = 1.5;
/** Fewer bad answers are no evidence. */
const MIN_BAD_ANSWERS = 6;
/** A half with fewer of the answers than this fraction is not compared. */
const MIN_HALF_FRACTION = 0.15;
/** A latency counts as slow from twice the former version's. */
const SLOW_BUCKETS = 2;
/** Latencies below this bucket (32 ms) are never slow. */
const MIN_SLOW_BUCKET = 6;
const MIN_SLOW_EXCESS = 0.02;

/** What the answers tell of the new version. */
export interface Judgement {
  /** Why the version is worse; undefined as long as it is not. */
  problem: string | undefined;
}

/** Bad answers among all. */
interface Proportion {
  bad: number;
  all: number;
}

interface ComparedVersions {
  former: Proportion;
  halves: Proportion[];
}

/**
 * Compares failures and latencies route by route, and failures over all routes.
 * A problem of a single endpoint, such as a slow machine, shows in one half of
 * the new version's endpoints only and is not the version's.
 */
export function judgeVersion(
  statistics: Iterable<VersionStatistics>,
): Judgement {
  const sums = new Map<string, Map<number, VersionStatistics>>();
  for (const added of statistics) {
    for (const route of [added.route, ""]) {
      const sides = sums.get(route) ?? new Map<number, VersionStatistics>();
      sums.set(route, sides);
      const sum = sides.get(added.side) ?? createStatistics(route, added.side);
      sides.set(added.side, sum);
      mergeStatistics(sum, added);
    }
  }
  for (const [route, sides] of sums) {
    const problem = findProblem(sides, route !== "");
    if (problem !== undefined) {
      const scope = route === "" ? "all routes" : `route ${route}`;
      return { problem: `${problem} on ${scope}` };
    }
  }
  return { problem: undefined };
}

function findProblem(
  sides: ReadonlyMap<number, VersionStatistics>,
  comparesLatency: boolean,
): string | undefined {
  const failures = compareSides(sides, ({ failed, answered }) => ({
    bad: failed,
    all: answered,
  }));
  if (isWorse(failures)) {
    return "more failures";
  }
  if (comparesLatency && isSlower(sides, "first")) {
    return "slower first bytes";
  }
  return comparesLatency && isSlower(sides, "whole")
    ? "slower answers"
    : undefined;
}

function compareSides(
  sides: ReadonlyMap<number, VersionStatistics>,
  count: (statistics: VersionStatistics, side: VersionSide) => Proportion,
): ComparedVersions {
  const read = (side: VersionSide): Proportion => {
    const statistics = sides.get(side);
    return statistics === undefined
      ? { bad: 0, all: 0 }
      : count(statistics, side);
  };
  return {
    former: read(VersionSide.Former),
    halves: [read(VersionSide.NewFirstHalf), read(VersionSide.NewSecondHalf)],
  };
}

function isWorse(
  { former, halves }: ComparedVersions,
  minExcess = 0,
): boolean {
  const bad = halves.reduce((sum, half) => sum + half.bad, 0);
  const all = halves.reduce((sum, half) => sum + half.all, 0);
  const merged = { bad, all };
  const isSignificant = bad >= MIN_BAD_ANSWERS &&
    computeExcess(former, merged) >= minExcess &&
    computeDeviations(former, merged) >= MIN_DEVIATIONS;
  return isSignificant &&
    halves.every((half) =>
      half.all < MIN_HALF_FRACTION * all ||
      computeDeviations(former, half) >= MIN_HALF_DEVIATIONS
    );
}

/** Compares the fractions above each latency of the former version. */
function isSlower(
  sides: ReadonlyMap<number, VersionStatistics>,
  measure: "first" | "whole",
): boolean {
  const buckets = sides.get(VersionSide.Former)?.[measure].length ?? 0;
  const from = MIN_SLOW_BUCKET - SLOW_BUCKETS;
  for (let bucket = from; bucket + SLOW_BUCKETS < buckets; bucket++) {
    const compared = compareSides(sides, (statistics, side) => {
      const above = side === VersionSide.Former
        ? bucket
        : bucket + SLOW_BUCKETS;
      const counts = statistics[measure];
      return { bad: sumCounts(counts.slice(above)), all: sumCounts(counts) };
    });
    if (isWorse(compared, MIN_SLOW_EXCESS)) {
      return true;
    }
  }
  return false;
}

function sumCounts(counts: readonly number[]): number {
  return counts.reduce((sum, count) => sum + count, 0);
}

function computeExcess(former: Proportion, other: Proportion): number {
  return other.bad / Math.max(1, other.all) -
    former.bad / Math.max(1, former.all);
}

/** The difference of two proportions in standard deviations of chance. */
function computeDeviations(former: Proportion, other: Proportion): number {
  if (other.all === 0 || former.all === 0) {
    return 0;
  }
  // One more answer of either kind keeps the variance above 0.
  const pooled = (former.bad + other.bad + 1) / (former.all + other.all + 2);
  const variance = pooled * (1 - pooled) * (1 / former.all + 1 / other.all);
  return computeExcess(former, other) / Math.sqrt(variance);
}

/** Failures and latencies of a service's versions, by route. */

import type { VersionStatistics } from "@rattanvane/protocol";
import { OutcomeKind } from "../model/attempt_outcome.ts";

/** Bounds of the latency buckets: each is wider than the former by this factor. */
const BUCKET_FACTOR = Math.SQRT2;
const FIRST_BOUND_MILLISECONDS = 4;
const BUCKETS = 26;
/** From this number of answers, older ones count half. */
const FULL_WINDOW = 200;
const MAX_ROUTES = 64;

/**
 * Which endpoints answered. Those of the new version form two halves, so that
 * one faulty endpoint is told from a faulty version.
 */
export enum VersionSide {
  Former = 0,
  NewFirstHalf = 1,
  NewSecondHalf = 2,
}

/** One attempt that ended. */
export interface AttemptEnd {
  route: string;
  side: VersionSide;
  kind: OutcomeKind;
  /** The latency objective of the route, in milliseconds. */
  objectiveMilliseconds: number;
  /** The time to the first byte; undefined without one. */
  firstMilliseconds: number | undefined;
  durationMilliseconds: number;
  /** Whether the endpoint may still have been slow after its start. */
  isCold: boolean;
}

/** An endpoint that turns requests away for lack of room does not fail. */
const FAILURES = new Set([
  OutcomeKind.Failed,
  OutcomeKind.Broken,
  OutcomeKind.StreamBroken,
]);

/** Finds the bucket of a latency in milliseconds. */
export function findBucket(milliseconds: number): number {
  const ratio = Math.max(1, milliseconds / FIRST_BOUND_MILLISECONDS);
  const bucket = Math.floor(Math.log(ratio) / Math.log(BUCKET_FACTOR));
  return Math.min(BUCKETS - 1, bucket);
}

/** Creates statistics without answers. */
export function createStatistics(
  route: string,
  side: number,
): VersionStatistics {
  return {
    route,
    side,
    answered: 0,
    failed: 0,
    first: new Array<number>(BUCKETS).fill(0),
    whole: new Array<number>(BUCKETS).fill(0),
  };
}

/** Adds statistics of the same route and side. */
export function mergeStatistics(
  sum: VersionStatistics,
  added: VersionStatistics,
): void {
  sum.answered += added.answered;
  sum.failed += added.failed;
  for (const name of ["first", "whole"] as const) {
    added[name].slice(0, BUCKETS).forEach((count, bucket) => {
      sum[name][bucket] = (sum[name][bucket] ?? 0) + count;
    });
  }
}

/** Keeps the newest answers of each route and side at one VM. */
export class AnswerStatistics {
  readonly #statistics = new Map<string, VersionStatistics>();

  /** Counts an attempt that ended; ignores those that tell nothing. */
  record(end: AttemptEnd): void {
    const { kind, durationMilliseconds, objectiveMilliseconds } = end;
    const isFailure = FAILURES.has(kind);
    // An attempt that was given up late was slow, however long it would have
    // taken.
    const isTooLate = kind === OutcomeKind.Stopped &&
      durationMilliseconds >= objectiveMilliseconds;
    if (!isFailure && !isTooLate && kind !== OutcomeKind.Answered) {
      return;
    }
    const statistics = this.#find(end.route, end.side);
    if (statistics === undefined) {
      return;
    }
    if (statistics.answered >= FULL_WINDOW) {
      updateToHalf(statistics);
    }
    statistics.answered++;
    statistics.failed += isFailure ? 1 : 0;
    if (isFailure || end.isCold) {
      return;
    }
    const first = findBucket(end.firstMilliseconds ?? durationMilliseconds);
    const whole = findBucket(durationMilliseconds);
    statistics.first[first] = (statistics.first[first] ?? 0) + 1;
    statistics.whole[whole] = (statistics.whole[whole] ?? 0) + 1;
  }

  /** Lists the statistics for the owner of the roll-out. */
  list(): VersionStatistics[] {
    return [...this.#statistics.values()];
  }

  /** Forgets all answers. */
  clear(): void {
    this.#statistics.clear();
  }

  #find(route: string, side: VersionSide): VersionStatistics | undefined {
    const key = `${side} ${route}`;
    const known = this.#statistics.get(key);
    if (known !== undefined || this.#statistics.size >= 3 * MAX_ROUTES) {
      return known;
    }
    const created = createStatistics(route, side);
    this.#statistics.set(key, created);
    return created;
  }
}

/** Makes older answers count half. */
function updateToHalf(statistics: VersionStatistics): void {
  statistics.answered /= 2;
  statistics.failed /= 2;
  statistics.first = statistics.first.map((count) => count / 2);
  statistics.whole = statistics.whole.map((count) => count / 2);
}

/** Counts and latencies of calls, organisation by organisation. */

import { build, type Histogram } from "hdr-histogram-js";
import { type CallRecord, CallVerdict } from "./call_record.ts";

const MICROSECONDS_PER_MILLISECOND = 1000;
const LONGEST_LATENCY_MICROSECONDS = 3_600_000_000;
const SIGNIFICANT_DIGITS = 3;

/** Latencies in milliseconds; 0 when there was nothing to measure. */
export interface LatencySummary {
  median: number;
  percentile95: number;
  percentile99: number;
  longest: number;
}

/** What one organisation's calls came to. */
export interface OrganisationSummary {
  organisation: string;
  calls: number;
  verdicts: Record<CallVerdict, number>;
  tokens: number;
  /** From the call to the first text. */
  firstText: LatencySummary;
  /** From the call to the end of a whole answer. */
  whole: LatencySummary;
}

/** Keeps the records of a run. */
export class LoadTally {
  readonly #records: CallRecord[] = [];

  /** All records, in the order in which the calls ended. */
  get records(): readonly CallRecord[] {
    return this.#records;
  }

  /** Adds a call that has ended. */
  add(record: CallRecord): void {
    this.#records.push(record);
  }

  /** Counts the calls that ended in one way. */
  count(verdict: CallVerdict): number {
    return this.#records.filter((record) => record.verdict === verdict).length;
  }

  /** Sums up each organisation, in the order of their names. */
  summarise(): OrganisationSummary[] {
    const names = new Set(this.#records.map((record) => record.organisation));
    return [...names].sort().map((name) =>
      sumUp(
        name,
        this.#records.filter((record) => record.organisation === name),
      )
    );
  }
}

function sumUp(
  organisation: string,
  records: readonly CallRecord[],
): OrganisationSummary {
  const verdicts = Object.fromEntries(
    Object.values(CallVerdict).map((verdict) => [
      verdict,
      records.filter((record) => record.verdict === verdict).length,
    ]),
  ) as Record<CallVerdict, number>;
  const whole = records.filter((each) => each.verdict === CallVerdict.Whole);
  return {
    organisation,
    calls: records.length,
    verdicts,
    tokens: records.reduce((sum, record) => sum + record.tokens, 0),
    firstText: computeLatencies(records.flatMap(listFirstTextDelay)),
    whole: computeLatencies(
      whole.map((record) => record.endedAt - record.startedAt),
    ),
  };
}

function listFirstTextDelay(record: CallRecord): number[] {
  return record.firstTextAt === undefined
    ? []
    : [record.firstTextAt - record.startedAt];
}

function computeLatencies(milliseconds: readonly number[]): LatencySummary {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: LONGEST_LATENCY_MICROSECONDS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
  for (const one of milliseconds) {
    const microseconds = Math.round(one * MICROSECONDS_PER_MILLISECOND);
    histogram.recordValue(
      Math.min(microseconds, LONGEST_LATENCY_MICROSECONDS),
    );
  }
  return describeHistogram(histogram);
}

function describeHistogram(histogram: Histogram): LatencySummary {
  const read = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
  return {
    median: read(50),
    percentile95: read(95),
    percentile99: read(99),
    longest: histogram.totalCount === 0
      ? 0
      : histogram.maxValue / MICROSECONDS_PER_MILLISECOND,
  };
}

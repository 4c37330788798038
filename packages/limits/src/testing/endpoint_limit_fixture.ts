/** Creates endpoint limits and their inputs for tests. */

import { ManualClock, RandomSource } from "@rattanvane/base";
import { AttemptOutcome } from "@rattanvane/protocol";
import { EndpointLimit } from "../endpoint_limit.ts";
import type {
  AttemptEnd,
  EndpointLimitOptions,
} from "../endpoint_limit_types.ts";
import type { ReportedLoad } from "../reported_load.ts";
import { DEFAULT_ENDPOINT_LIMIT_SETTINGS } from "../settings.ts";

/** Settings that the tests use. */
export const SETTINGS = DEFAULT_ENDPOINT_LIMIT_SETTINGS;
/** Minimum time between two raises of a limit. */
export const GROWTH_INTERVAL_MILLISECONDS = SETTINGS.growthIntervalMilliseconds;

/** A limit and the clock that it uses. */
export interface Fixture {
  clock: ManualClock;
  limit: EndpointLimit;
}

/** Creates the limit of an endpoint with a cold limit of two requests. */
export function createFixture(
  options: Partial<EndpointLimitOptions> = {},
): Fixture {
  const clock = new ManualClock();
  const limit = new EndpointLimit({
    endpoint: "e",
    coldLimit: 2,
    ceiling: 32,
    settings: SETTINGS,
    clock,
    random: new RandomSource(5),
    self: "v",
    leased: true,
    ...options,
  });
  return { clock, limit };
}

/** Creates the end of an attempt; by default a completed one. */
export function createEnd(options: Partial<AttemptEnd> = {}): AttemptEnd {
  return {
    outcome: AttemptOutcome.Completed,
    firstByteMilliseconds: 50,
    bootId: "b1",
    ...options,
  };
}

/** Creates a load report; by default of an idle endpoint. */
export function createReport(
  options: Partial<ReportedLoad> = {},
): ReportedLoad {
  return {
    bootId: "b1",
    uptimeMilliseconds: 60_000,
    running: 0,
    waiting: 0,
    slots: 0,
    ageMilliseconds: 0,
    ...options,
  };
}

let attempts = 0;

/** Starts as many attempts as the limit allows; returns them. */
export function startAll(limit: EndpointLimit): string[] {
  const started: string[] = [];
  for (let free = limit.freeSlots; free > 0; free--) {
    started.push(`a${attempts++}`);
    limit.startAttempt(started.at(-1) as string);
  }
  return started;
}

/**
 * Starts as many attempts as the limit allows once the first ones have made
 * progress and so confirmed the boot; returns all of them.
 */
export async function startAfterProgress(fixture: Fixture): Promise<string[]> {
  const first = startAll(fixture.limit);
  await fixture.clock.advance(1);
  fixture.limit.recordProgress("b1");
  return [...first, ...startAll(fixture.limit)];
}

/**
 * Runs rounds of full use, each longer than the growth interval; returns the
 * limit after each round.
 */
export async function runRounds(
  fixture: Fixture,
  options: { rounds: number; end?: Partial<AttemptEnd> },
): Promise<number[]> {
  const limits: number[] = [];
  for (let round = 0; round < options.rounds; round++) {
    const started = await startAfterProgress(fixture);
    await fixture.clock.advance(GROWTH_INTERVAL_MILLISECONDS);
    for (const attempt of started) {
      fixture.limit.finishAttempt(attempt, createEnd(options.end));
    }
    limits.push(fixture.limit.limit);
  }
  return limits;
}

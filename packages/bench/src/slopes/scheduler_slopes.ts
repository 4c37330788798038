/** What a request and a waiting entry cost the scheduler of one pool. */

import {
  measureScheduler,
  type SchedulerFigures,
  type SchedulerSize,
} from "./scheduler.ts";
import type { Slope, SlopePoint } from "./slope.ts";

const SEED = 7;
const ORGANISATION_COUNTS = [12, 120, 1200, 12_000];
const ENTRY_COUNTS = [1000, 10_000, 100_000];
const ENDPOINT_COUNTS = [5, 20, 80];
const BACKLOGGED = 1200;
const ENTRIES = 100_000;
const ENDPOINTS = 20;

/** Measures a scheduler by organisations, by entries and by endpoints. */
export async function measureSchedulerSlopes(): Promise<Slope[]> {
  const usual = {
    organisations: BACKLOGGED,
    entries: ENTRIES,
    endpoints: ENDPOINTS,
  };
  const byOrganisations = await measureSizes(
    ORGANISATION_COUNTS.map((organisations) => ({ ...usual, organisations })),
  );
  const byEntries = await measureSizes(
    ENTRY_COUNTS.map((entries) => ({ ...usual, entries })),
  );
  const byEndpoints = await measureSizes(
    ENDPOINT_COUNTS.map((endpoints) => ({ ...usual, endpoints })),
  );
  return [
    {
      name: "a request's messages handled, 100000 waiting",
      sizeUnit: "organisation",
      unit: "us",
      points: byOrganisations.map(toPoint("organisations")),
    },
    {
      name: "a request's messages handled, 1200 organisations",
      sizeUnit: "waiting entry",
      unit: "us",
      points: byEntries.map(toPoint("entries")),
    },
    {
      name: "a request's messages handled, by endpoints",
      sizeUnit: "endpoint",
      unit: "us",
      points: byEndpoints.map(toPoint("endpoints")),
    },
    {
      name: "memory of waiting entries at their scheduler",
      sizeUnit: "waiting entry",
      unit: "bytes",
      points: byEntries.map(({ entries, bytesPerEntry }) => ({
        size: entries,
        value: entries * bytesPerEntry,
      })),
    },
  ];
}

async function measureSizes(
  sizes: readonly SchedulerSize[],
): Promise<SchedulerFigures[]> {
  return await measureScheduler(sizes, SEED);
}

function toPoint(key: keyof SchedulerSize) {
  return (figures: SchedulerFigures): SlopePoint => ({
    size: figures[key],
    value: figures.microsecondsPerRequest,
  });
}

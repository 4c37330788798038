/** Messages with names as long as those of a large fleet. */

import {
  AttemptOutcome,
  type Message,
  MessageKind,
  PlacementReason,
  type PoolId,
  type QueueEntry,
  type VmContact,
} from "@rattanvane/protocol";

const FINGERPRINT_CHARACTERS = 22;
const PREFIX_CHARACTERS = 11;

const SAMPLE_BOOT_ID = "boot-1f3c9a7e";

/** A pool of the samples. */
export const SAMPLE_POOL: PoolId = { zone: "zone-a", service: "model-07" };

const ATTEMPT = "model-07.vm-a012.mir0k3p1.000123";
const REQUEST = "6f9619ff8b86d011b42d00";
const ENDPOINT = "engine-a0123";

/** The contact of a sample VM. */
export function createSampleContact(index: number, zone = "zone-a"): VmContact {
  return {
    vm: `vm-${zone.slice(-1)}${String(index).padStart(3, "0")}`,
    zone,
    host: `10.1.2.${index % 250}`,
    controlPort: 7400,
    callerPort: 8400,
  };
}

/** A waiting request of an organisation. */
export function createSampleEntry(
  index: number,
  organisation: string,
): QueueEntry {
  return {
    request: `6f9619ff8b86d011${String(index).padStart(6, "0")}`,
    ingress: "vm-a012",
    organisation,
    attemptsMade: 0,
    hintedCost: 0,
    waitLimitMilliseconds: 300_000,
    waitedMilliseconds: 0,
    fingerprint: index.toString(16).padStart(FINGERPRINT_CHARACTERS, "0"),
    prefix: (index % 100).toString(16).padStart(PREFIX_CHARACTERS, "0"),
    avoid: [],
  };
}

/** The messages of one request, by name. */
export function createSampleMessages(): Record<string, Message> {
  const pool = SAMPLE_POOL;
  return {
    "an enqueue": {
      kind: MessageKind.Enqueue,
      pool,
      entry: createSampleEntry(1, "organisation-04711"),
    },
    "a grant": {
      kind: MessageKind.Grant,
      pool,
      term: { number: 123, holder: "vm-a034" },
      request: REQUEST,
      attempt: ATTEMPT,
      endpoint: ENDPOINT,
      chargedCost: 2048,
      reason: PlacementReason.LeastLoaded,
    },
    "a charge alone in its message": createSampleProgress(1),
    "a finish": {
      kind: MessageKind.Finish,
      pool,
      request: REQUEST,
      attempt: ATTEMPT,
      endpoint: ENDPOINT,
      outcome: AttemptOutcome.Completed,
      cost: 4321,
      firstByteMilliseconds: 123.5,
      durationMilliseconds: 4567.5,
      bootId: SAMPLE_BOOT_ID,
    },
  };
}

/** A progress message that charges so many running attempts. */
export function createSampleProgress(attempts: number): Message {
  return {
    kind: MessageKind.Progress,
    pool: SAMPLE_POOL,
    attempts: Array.from({ length: attempts }, (_, index) => ({
      attempt: `model-07.vm-a012.mir0k3p1.${String(index).padStart(6, "0")}`,
      cost: 4000 + index,
      // Only the first report of an attempt carries it.
      bootId: "",
    })),
  };
}

/** A counter message with the totals of so many organisations. */
export function createSampleCounters(organisations: number): Message {
  return {
    kind: MessageKind.CounterDelta,
    service: SAMPLE_POOL.service,
    pool: SAMPLE_POOL,
    term: { number: 123, holder: "vm-a034" },
    sequence: 4711,
    totals: Array.from({ length: organisations }, (_, index) => ({
      organisation: `organisation-${String(index).padStart(5, "0")}`,
      service: 123_456 + index,
    })),
    virtualTime: 123_456.75,
    waiting: 100_000,
    slots: 400,
  };
}

/** A report of so many waiting entries. */
export function createSampleReport(entries: number): Message {
  return {
    kind: MessageKind.WorkReport,
    pool: SAMPLE_POOL,
    waiting: Array.from(
      { length: entries },
      (_, index) => createSampleEntry(index, `organisation-${index % 1200}`),
    ),
    running: [],
  };
}

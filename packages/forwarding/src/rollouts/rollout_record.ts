/** What the store keeps of the roll-out of a service's version. */

import { Buffer } from "node:buffer";
import type { ServiceId, VmId } from "@rattanvane/protocol";
import { z } from "zod";

/** The progress of a roll-out. */
export enum RolloutPhase {
  InProgress = "inProgress",
  /** The service's requests go to the new version only. */
  Complete = "complete",
  /** The new version was worse and gets no requests. */
  Reverted = "reverted",
}

/** An operator's order to move a service to another version. */
export interface RolloutOrder {
  service: ServiceId;
  version: string;
  /** The time in which the operator expects the move, in milliseconds. */
  rampMilliseconds: number;
}

/** Bounds on the requests that an unproven version may get. */
export interface RolloutSettings {
  /** The fraction of a service's requests, 0 to 1. */
  canaryShare: number;
  /** Requests beyond that. */
  canaryMargin: number;
  /** Time from evidence of a worse version to its last request. */
  revertMilliseconds: number;
}

const MAX_TEXT = 200;
const MAX_VERSIONS = 16;

const textSchema = z.string().max(MAX_TEXT);
const versionsSchema = z.array(textSchema).max(MAX_VERSIONS);
const countSchema = z.number().nonnegative();

const recordSchema = z.object({
  service: textSchema,
  version: textSchema,
  generation: countSchema,
  phase: z.enum(RolloutPhase),
  replaced: versionsSchema,
  excluded: versionsSchema,
  isTrusted: z.boolean(),
  isReturn: z.boolean(),
  owner: textSchema,
  term: countSchema,
  write: textSchema,
  elapsedMilliseconds: countSchema,
  reachedRequests: countSchema,
  reservedAttempts: countSchema,
});

/** The state of a roll-out; written under a condition on its former version. */
export interface RolloutRecord {
  service: ServiceId;
  /** The version that the service moves to. */
  version: string;
  /** Rises with each order for the service. */
  generation: number;
  phase: RolloutPhase;
  /** The versions that the new one replaces. */
  replaced: string[];
  /** Versions that must not get requests, from former orders. */
  excluded: string[];
  /** Whether the version may get any number of requests. */
  isTrusted: boolean;
  /** Whether the version serves already, so that it needs no proof. */
  isReturn: boolean;
  /** The VM that hands out allowances. */
  owner: VmId;
  /** Rises with each change of the owner. */
  term: number;
  /** Identifies the write, to tell whether one without an answer was done. */
  write: string;
  /** Time since the order was first seen, at the time of the write. */
  elapsedMilliseconds: number;
  /** Requests that are known to have reached the service since the order. */
  reachedRequests: number;
  /** Attempts that all owners together may have allowed. */
  reservedAttempts: number;
}

/** Encodes a record as a row's value. */
export function encodeRecord(record: RolloutRecord): Uint8Array {
  return Buffer.from(JSON.stringify(record));
}

/** Decodes a row's value; undefined if it holds no record. */
export function decodeRecord(value: Uint8Array): RolloutRecord | undefined {
  try {
    const parsed = JSON.parse(Buffer.from(value).toString("utf8"));
    return recordSchema.safeParse(parsed).data;
  } catch {
    return undefined;
  }
}

const PHASE_RANKS: Record<RolloutPhase, number> = {
  [RolloutPhase.InProgress]: 0,
  [RolloutPhase.Reverted]: 1,
  // The endpoints of the replaced version stop at once.
  [RolloutPhase.Complete]: 2,
};

/**
 * Orders two records of a service, the earlier one first. A decided record is
 * later than an undecided one of the same order, whatever the store holds.
 */
export function compareRecords(
  first: RolloutRecord,
  second: RolloutRecord,
): number {
  return first.generation - second.generation ||
    PHASE_RANKS[first.phase] - PHASE_RANKS[second.phase] ||
    first.term - second.term ||
    first.reservedAttempts - second.reservedAttempts ||
    Number(first.isTrusted) - Number(second.isTrusted) ||
    first.elapsedMilliseconds - second.elapsedMilliseconds;
}

/** Builds the first record of an order, which follows on a former one's. */
export function buildFirstRecord(
  order: RolloutOrder,
  { former, registered }: {
    former: RolloutRecord | undefined;
    /** The versions of the service's registered endpoints. */
    registered: Iterable<string>;
  },
): RolloutRecord {
  const { service, version } = order;
  const isFormerUnproven = former !== undefined &&
    former.phase !== RolloutPhase.Complete;
  const excluded = new Set(former?.excluded ?? []);
  if (isFormerUnproven) {
    excluded.add(former.version);
  }
  const versions = new Set(registered);
  const isReturn = isFormerUnproven && former.replaced.includes(version) ||
    versions.size === 1 && versions.has(version);
  excluded.delete(version);
  const replaced = [...versions].filter((other) =>
    other !== version && !excluded.has(other)
  );
  return {
    service,
    version,
    generation: (former?.generation ?? 0) + 1,
    phase: RolloutPhase.InProgress,
    replaced: replaced.slice(-MAX_VERSIONS),
    excluded: [...excluded].slice(-MAX_VERSIONS),
    isTrusted: isReturn,
    isReturn,
    owner: "",
    term: 0,
    write: "",
    elapsedMilliseconds: 0,
    reachedRequests: 0,
    reservedAttempts: 0,
  };
}

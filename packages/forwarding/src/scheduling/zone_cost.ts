/** Weighs the bytes that a request moves to another zone against its latency. */

import type { ZoneId } from "@rattanvane/protocol";
import type { SchedulableCall } from "../model/call.ts";

/** The heads of a request and of its answer, in bytes. */
const HEAD_BYTES = 1_000;
/** Bytes of an answer per generated token, with the framing of its events. */
const BYTES_PER_OUTPUT_TOKEN = 12;
/** Bytes of an answer that is not generated from a prompt. */
const PLAIN_ANSWER_BYTES = 800;
const BYTES_PER_MEGABYTE = 1_000_000;
/** More of the objective is not given up for bytes, however many they are. */
const MAX_OBJECTIVE_FRACTION = 0.1;

/** The cost of traffic between zones, in milliseconds of predicted time. */
export interface ZoneCostSettings {
  /** For each request that leaves its zone. */
  millisecondsPerRequest: number;
  /** For each megabyte of the request and its answer. */
  millisecondsPerMegabyte: number;
}

/**
 * Computes what the cost of an endpoint in another zone has to be lower by. A
 * request leaves its zone when the time that it saves elsewhere is worth the
 * bytes that it moves, so those that save most per byte leave first, and all may
 * leave a zone without capacity.
 *
 * Load: one zone receives more than its share of the requests, and traffic
 * between zones has a price.
 */
export class ZoneCost {
  readonly #settings: ZoneCostSettings;

  constructor(settings: ZoneCostSettings) {
    this.#settings = settings;
  }

  /** Milliseconds to add for a call at endpoints outside of its zone. */
  compute(call: SchedulableCall): number {
    const { millisecondsPerRequest, millisecondsPerMegabyte } = this.#settings;
    if (call.origin === undefined) {
      return 0;
    }
    const bytes = HEAD_BYTES + call.origin.bodyBytes + computeAnswerBytes(call);
    const milliseconds = millisecondsPerRequest +
      millisecondsPerMegabyte * bytes / BYTES_PER_MEGABYTE;
    return Math.min(
      milliseconds,
      call.route.objectiveMilliseconds * MAX_OBJECTIVE_FRACTION,
    );
  }
}

/** The cost of leaving the zone of one call. */
export interface ZoneDistance {
  /** Undefined where the call may be served in all zones alike. */
  home: ZoneId | undefined;
  /** The cost of any other zone, in milliseconds of predicted time. */
  awayMilliseconds: number;
}

/** Finds the zone of a call and the cost of leaving it. */
export function findZoneDistance(
  call: SchedulableCall,
  cost: ZoneCost | undefined,
): ZoneDistance {
  return {
    home: cost === undefined ? undefined : call.origin?.zone,
    awayMilliseconds: cost?.compute(call) ?? 0,
  };
}

/** Computes the cost of a zone, in milliseconds of predicted time. */
export function computeZoneCost(
  { home, awayMilliseconds }: ZoneDistance,
  zone: ZoneId,
): number {
  return home === undefined || home === zone ? 0 : awayMilliseconds;
}

function computeAnswerBytes({ identity: { prompt } }: SchedulableCall): number {
  return prompt === undefined
    ? PLAIN_ANSWER_BYTES
    : prompt.outputTokens * BYTES_PER_OUTPUT_TOKEN;
}

/** Keeps places in the order of service for callers that were refused. */

import { type Clock, hashText } from "@rattanvane/base";
import type { KeptPlaceReport, OrganisationId } from "@rattanvane/protocol";
import { computeCost, type SchedulableCall } from "../model/call.ts";

const MILLISECONDS_PER_SECOND = 1_000;
/** Callers' clocks and connections differ by less than this. */
const EARLY_RETURN_MILLISECONDS = 20;
/** How long a place is kept for a caller that returns late. */
const LATE_RETURN_MILLISECONDS = 600;
/** The fraction of an organisation's share that returning callers may take. */
const RETURNS_FRACTION = 0.5;
/** Callers of an organisation do not return closer together. */
const MIN_SPACING_MILLISECONDS = 4;
/** Bounds the memory for places, whoever is refused. */
const MAX_PLACES = 4_096;
/** More places than this between two messages are not known to peers. */
const MAX_UNSENT_PLACES = 128;

/** What happened to a place; a label of a metric. */
export enum PlaceEvent {
  Kept = "kept",
  Taken = "taken",
  /** The caller returned in time and was refused again. */
  Refused = "refused",
}

/** What the scheduler expects when it refuses a request. */
export interface PlaceTerms {
  /** The caller should not return sooner, in milliseconds from now. */
  earliestMilliseconds: number;
  /** A later place would be of no use, in milliseconds from now. */
  latestMilliseconds: number;
  /**
   * The cost units a second that the organisation may expect to be granted for
   * the requests that reach this VM.
   */
  costPerSecond: number;
}

/** Dependencies of {@link KeptPlaces}. */
export interface KeptPlacesOptions {
  clock: Clock;
  /** Called with each event. */
  recordEvent: (event: PlaceEvent) => void;
}

/**
 * The places of refused callers, at all schedulers: a caller may return to
 * another VM than the one that refused it. A place that was not reported to a
 * peer yet is lost with its VM; its caller is then served like a new one.
 */
export class KeptPlaces {
  readonly #options: KeptPlacesOptions;
  /** The times of return by the key of the request. */
  readonly #returns = new Map<number, number>();
  /** The time up to which returns of an organisation were scheduled here. */
  readonly #scheduledUntil = new Map<OrganisationId, number>();
  #unsent: { key: number; returnAt: number }[] = [];

  constructor(options: KeptPlacesOptions) {
    this.#options = options;
  }

  /** The number of places that are kept. */
  get size(): number {
    this.#removeExpired();
    return this.#returns.size;
  }

  /**
   * Keeps a place for a refused request. Returns after how many milliseconds
   * its caller should return, or undefined if the organisation's places are
   * taken for as long as one would be of use.
   */
  keep(call: SchedulableCall, terms: PlaceTerms): number | undefined {
    const now = this.#options.clock.now();
    this.#removeExpired();
    const organisation = call.organisation ?? "";
    const returnAt = Math.max(
      now + terms.earliestMilliseconds,
      this.#scheduledUntil.get(organisation) ?? 0,
    );
    const isKept = returnAt <= now + terms.latestMilliseconds &&
      terms.costPerSecond > 0 && this.#returns.size < MAX_PLACES;
    if (!isKept) {
      return undefined;
    }
    const spacing = computeCost(call) * MILLISECONDS_PER_SECOND /
      (terms.costPerSecond * RETURNS_FRACTION);
    this.#scheduledUntil.delete(organisation);
    this.#scheduledUntil.set(
      organisation,
      returnAt + Math.max(MIN_SPACING_MILLISECONDS, spacing),
    );
    const key = hashCall(call);
    this.#add(key, returnAt);
    if (this.#unsent.length < MAX_UNSENT_PLACES) {
      this.#unsent.push({ key, returnAt });
    }
    this.#options.recordEvent(PlaceEvent.Kept);
    return returnAt - now;
  }

  /**
   * Whether a place is kept for a request. It is given up then; a caller that
   * returns too early has none, but still has it when it returns in time.
   */
  take(call: SchedulableCall): boolean {
    const now = this.#options.clock.now();
    const key = hashCall(call);
    const returnAt = this.#returns.get(key);
    const isInTime = returnAt !== undefined &&
      now >= returnAt - EARLY_RETURN_MILLISECONDS &&
      now <= returnAt + LATE_RETURN_MILLISECONDS;
    if (isInTime) {
      this.#returns.delete(key);
      this.#options.recordEvent(PlaceEvent.Taken);
    }
    return isInTime;
  }

  /** Records that a caller that returned to its place was refused again. */
  recordRefusal(): void {
    this.#options.recordEvent(PlaceEvent.Refused);
  }

  /** Lists the places that were kept here since the last call, for peers. */
  takeUnsent(): KeptPlaceReport[] {
    const now = this.#options.clock.now();
    const unsent = this.#unsent;
    this.#unsent = [];
    return unsent.map(({ key, returnAt }) => ({
      key,
      returnMilliseconds: Math.max(0, Math.round(returnAt - now)),
    }));
  }

  /** Merges the places that a peer kept. */
  merge(reports: readonly KeptPlaceReport[]): void {
    const now = this.#options.clock.now();
    this.#removeExpired();
    for (const { key, returnMilliseconds } of reports) {
      if (this.#returns.size < MAX_PLACES) {
        this.#add(key, now + returnMilliseconds);
      }
    }
  }

  /** Moves a known key to the end, since the oldest places are first. */
  #add(key: number, returnAt: number): void {
    this.#returns.delete(key);
    this.#returns.set(key, returnAt);
  }

  /** Removes expired places up to the first one that is still of use. */
  #removeExpired(): void {
    const now = this.#options.clock.now();
    for (const [key, returnAt] of this.#returns) {
      if (now <= returnAt + LATE_RETURN_MILLISECONDS) {
        break;
      }
      this.#returns.delete(key);
    }
    for (const [organisation, until] of this.#scheduledUntil) {
      if (until > now) {
        break;
      }
      this.#scheduledUntil.delete(organisation);
    }
  }
}

/**
 * Identifies a request across the attempts of its caller, whose ids differ. The
 * last part of a prompt is not shared, even where bodies are alike.
 */
function hashCall({ fingerprint, identity: { prompt } }: SchedulableCall) {
  return hashText(`${fingerprint} ${prompt?.parts.at(-1)?.id ?? ""}`);
}

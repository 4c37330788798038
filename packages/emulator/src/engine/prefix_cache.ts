/** The prefix cache of an engine and its late, incomplete events. */

import type { Clock } from "@rattanvane/base";
import { ChanceGate } from "../common/chance_gate.ts";

const PREFIX_CHARACTERS = 64;
const MAXIMUM_EVENTS = 1000;

/** What happened to a cached prefix. */
export enum CacheEventKind {
  Stored = "stored",
  Evicted = "evicted",
}

/** One event of the cache. */
export interface CacheEvent {
  /** Counts all events, also those that never appear. */
  sequence: number;
  kind: CacheEventKind;
  prefix: string;
}

/** Settings of a cache. */
export interface PrefixCacheOptions {
  clock: Clock;
  maximumPrefixes: number;
  eventLagMilliseconds: number;
  eventLoss: number;
  seed: number;
}

interface DatedEvent extends CacheEvent {
  at: number;
}

/** Holds the prefixes that were used last. */
export class PrefixCache {
  readonly #options: PrefixCacheOptions;
  readonly #lossGate: ChanceGate;
  /** In the order of use, the last used at the end. */
  readonly #prefixes = new Set<string>();
  #events: DatedEvent[] = [];
  #sequence = 0;

  constructor(options: PrefixCacheOptions) {
    this.#options = options;
    this.#lossGate = new ChanceGate(options.eventLoss, options.seed);
  }

  /** Uses the prefix of a text; returns whether it was cached. */
  use(text: string): boolean {
    const prefix = text.slice(0, PREFIX_CHARACTERS);
    const hit = this.#prefixes.delete(prefix);
    this.#prefixes.add(prefix);
    if (!hit) {
      this.#record(CacheEventKind.Stored, prefix);
      this.#evict();
    }
    return hit;
  }

  /** Lists the events that are visible by now, and the last visible number. */
  listEvents(after: number): { events: CacheEvent[]; latest: number } {
    const { clock, eventLagMilliseconds } = this.#options;
    const visibleUntil = clock.now() - eventLagMilliseconds;
    const visible = this.#events.filter((event) => event.at <= visibleUntil);
    const events = visible
      .filter((event) => event.sequence > after)
      .map(({ sequence, kind, prefix }) => ({ sequence, kind, prefix }));
    return { events, latest: visible.at(-1)?.sequence ?? 0 };
  }

  #evict(): void {
    for (const prefix of this.#prefixes) {
      if (this.#prefixes.size <= this.#options.maximumPrefixes) {
        return;
      }
      this.#prefixes.delete(prefix);
      this.#record(CacheEventKind.Evicted, prefix);
    }
  }

  #record(kind: CacheEventKind, prefix: string): void {
    this.#sequence++;
    if (this.#lossGate.strikes()) {
      return;
    }
    const at = this.#options.clock.now();
    this.#events.push({ sequence: this.#sequence, kind, prefix, at });
    this.#events = this.#events.slice(-MAXIMUM_EVENTS);
  }
}

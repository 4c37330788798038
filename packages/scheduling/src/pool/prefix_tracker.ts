/** Tracks which prompt prefixes each endpoint has probably cached. */

import type { EndpointId } from "@rattanvane/protocol";

/**
 * Keeps the most recently granted prefixes of each endpoint. They are derived
 * from grants rather than from the engines' cache events, which arrive late and
 * with gaps. An engine's cache is limited, so older prefixes are evicted.
 */
export class PrefixTracker {
  readonly #capacity: number;
  readonly #prefixes = new Map<EndpointId, Set<string>>();

  /** Creates a tracker that keeps up to `capacity` prefixes per endpoint. */
  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** Whether an endpoint has probably cached a prefix; never an empty one. */
  has(endpoint: EndpointId, prefix: string): boolean {
    return prefix !== "" &&
      this.#prefixes.get(endpoint)?.has(prefix) === true;
  }

  /** Records that a prompt with this prefix was granted to an endpoint. */
  add(endpoint: EndpointId, prefix: string): void {
    if (prefix === "") {
      return;
    }
    const known = this.#prefixes.get(endpoint) ?? new Set<string>();
    known.delete(prefix);
    known.add(prefix);
    this.#prefixes.set(endpoint, known);
    this.#evictOldest(known);
  }

  /** Drops the prefixes of an endpoint that restarted. */
  remove(endpoint: EndpointId): void {
    this.#prefixes.delete(endpoint);
  }

  #evictOldest(known: Set<string>): void {
    if (known.size <= this.#capacity) {
      return;
    }
    for (const oldest of known) {
      known.delete(oldest);
      return;
    }
  }
}

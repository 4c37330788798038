/** Remembers which endpoints have probably cached the start of a prompt. */

import type { EndpointId } from "@rattanvane/protocol";

/**
 * Follows the grants rather than the engines' cache events, which come late
 * and with gaps. An engine's cache is limited, so only the newest are kept.
 */
export class PrefixMemory {
  readonly #capacity: number;
  readonly #prefixes = new Map<EndpointId, Set<string>>();

  /** The capacity is counted in prefixes for each endpoint. */
  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  has(endpoint: EndpointId, prefix: string): boolean {
    return prefix !== "" &&
      this.#prefixes.get(endpoint)?.has(prefix) === true;
  }

  /** Takes in that an endpoint was given a prompt. */
  add(endpoint: EndpointId, prefix: string): void {
    if (prefix === "") {
      return;
    }
    const known = this.#prefixes.get(endpoint) ?? new Set<string>();
    known.delete(prefix);
    known.add(prefix);
    this.#prefixes.set(endpoint, known);
    this.#forgetOldest(known);
  }

  /** Forgets an endpoint that has started anew. */
  remove(endpoint: EndpointId): void {
    this.#prefixes.delete(endpoint);
  }

  #forgetOldest(known: Set<string>): void {
    if (known.size <= this.#capacity) {
      return;
    }
    for (const oldest of known) {
      known.delete(oldest);
      return;
    }
  }
}

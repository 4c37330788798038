/** The limits that endpoints state for the requests that they take. */

import { type Clock, Emitter, type Logger } from "@rattanvane/base";
import type { EndpointId, EndpointLimit } from "@rattanvane/protocol";
import {
  type DirectoryChange,
  DirectoryChangeKind,
  type EndpointDirectory,
} from "./endpoint_directory.ts";

/** How often a statement that does not change is passed on. */
const REFRESH_MILLISECONDS = 1_000;
/** How long peers are told that a limit was lifted. */
const LIFTED_MEMORY_MILLISECONDS = 10_000;

interface Statement {
  /** Undefined for no limit. */
  requestsPerSecond: number | undefined;
  statedAt: number;
  emittedAt: number;
}

/** Dependencies of {@link EndpointLimits}. */
export interface EndpointLimitsOptions {
  clock: Clock;
  logger: Logger;
  directory: EndpointDirectory;
}

/**
 * Keeps what each endpoint's process stated last, whichever VM read it. A limit
 * holds until the process states another one or none.
 */
export class EndpointLimits {
  /** Emits new and changed statements, and others once a second. */
  readonly changes = new Emitter<EndpointLimit>();
  readonly #options: EndpointLimitsOptions;
  readonly #statements = new Map<EndpointId, Statement>();

  constructor(options: EndpointLimitsOptions, signal: AbortSignal) {
    this.#options = options;
    options.directory.changes.listen(
      (change) => this.#applyChange(change),
      signal,
    );
  }

  /** The requests a second from all VMs; undefined for no limit. */
  find(endpoint: EndpointId): number | undefined {
    return this.#statements.get(endpoint)?.requestsPerSecond;
  }

  /** Records what an endpoint stated, unless something newer is known. */
  record(limit: EndpointLimit): void {
    const { endpoint, requestsPerSecond } = limit;
    const known = this.#statements.get(endpoint);
    if (known === undefined && requestsPerSecond === undefined) {
      return;
    }
    const now = this.#options.clock.now();
    const statedAt = now - limit.ageMilliseconds;
    if (statedAt <= (known?.statedAt ?? -Infinity) || this.#isOutdated(limit)) {
      return;
    }
    const isChanged = known?.requestsPerSecond !== requestsPerSecond;
    const isEmitted = isChanged ||
      statedAt - (known?.emittedAt ?? -Infinity) >= REFRESH_MILLISECONDS;
    this.#statements.set(endpoint, {
      requestsPerSecond,
      statedAt,
      emittedAt: isEmitted ? statedAt : known?.emittedAt ?? statedAt,
    });
    if (isChanged) {
      this.#options.logger.info("endpoint changed its rate limit", {
        endpoint,
        requestsPerSecond,
        ageMilliseconds: Math.round(limit.ageMilliseconds),
      });
    }
    if (isEmitted) {
      this.changes.emit(limit);
    }
  }

  /** Lists the limits, and those that were lifted lately. */
  list(): EndpointLimit[] {
    const now = this.#options.clock.now();
    const limits: EndpointLimit[] = [];
    for (const [endpoint, statement] of this.#statements) {
      const { requestsPerSecond, statedAt } = statement;
      const ageMilliseconds = now - statedAt;
      if (
        requestsPerSecond === undefined &&
        ageMilliseconds > LIFTED_MEMORY_MILLISECONDS
      ) {
        this.#statements.delete(endpoint);
        continue;
      }
      limits.push({
        endpoint,
        startedAtUnixMilliseconds: this.#findStart(endpoint),
        requestsPerSecond,
        ageMilliseconds,
      });
    }
    return limits;
  }

  /** Whether a statement is that of an earlier process. */
  #isOutdated(
    { endpoint, startedAtUnixMilliseconds }: EndpointLimit,
  ): boolean {
    return startedAtUnixMilliseconds !== undefined &&
      startedAtUnixMilliseconds < (this.#findStart(endpoint) ?? -Infinity);
  }

  #findStart(endpoint: EndpointId): number | undefined {
    return this.#options.directory.find(endpoint)?.startedAtUnixMilliseconds;
  }

  #applyChange({ kind, entry }: DirectoryChange): void {
    const isEnded = kind === DirectoryChangeKind.Started ||
      kind === DirectoryChangeKind.Removed;
    if (isEnded) {
      this.#statements.delete(entry.record.id);
    }
  }
}

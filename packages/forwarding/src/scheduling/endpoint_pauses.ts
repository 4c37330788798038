/** Endpoints that asked this VM to send nothing for a while. */

import type { Clock, Logger } from "@rattanvane/base";
import type { EndpointId, ServiceId } from "@rattanvane/protocol";
import {
  type DirectoryChange,
  DirectoryChangeKind,
  type EndpointDirectory,
} from "../state/endpoint_directory.ts";

/** An endpoint that asks for more is not believed. */
const MAX_PAUSE_MILLISECONDS = 600_000;

/** What an endpoint asked for when it turned a request away. */
export interface RequestedPause {
  endpoint: EndpointId;
  service: ServiceId;
  milliseconds: number;
}

interface Pause {
  service: ServiceId;
  endsAt: number;
}

/** Dependencies of {@link EndpointPauses}. */
export interface EndpointPausesOptions {
  clock: Clock;
  logger: Logger;
  directory: EndpointDirectory;
}

/**
 * An endpoint asks each VM by itself, so the pauses hold for the requests of
 * this VM, whichever VM schedules them. A new process is not paused.
 */
export class EndpointPauses {
  readonly #options: EndpointPausesOptions;
  readonly #signal: AbortSignal;
  readonly #pauses = new Map<EndpointId, Pause>();
  readonly #endpoints = new Set<EndpointId>();

  /** An abort ends the timers of the pauses. */
  constructor(options: EndpointPausesOptions, signal: AbortSignal) {
    this.#options = options;
    this.#signal = signal;
    options.directory.changes.listen(
      (change) => this.#applyChange(change),
      signal,
    );
  }

  /** The endpoints that are paused at any time; changes with the pauses. */
  get endpoints(): ReadonlySet<EndpointId> {
    return this.#endpoints;
  }

  /** Records that an endpoint asked for a pause; never shortens one. */
  record({ endpoint, service, milliseconds }: RequestedPause): void {
    const { clock, logger } = this.#options;
    const length = Math.min(milliseconds, MAX_PAUSE_MILLISECONDS);
    const endsAt = clock.now() + length;
    const known = this.#pauses.get(endpoint);
    if (length <= 0 || endsAt <= (known?.endsAt ?? -Infinity)) {
      return;
    }
    const pause = { service, endsAt };
    this.#pauses.set(endpoint, pause);
    this.#endpoints.add(endpoint);
    if (known === undefined) {
      logger.info("endpoint asked for a pause", {
        endpoint,
        service,
        milliseconds: Math.round(length),
      });
    }
    void this.#endLater(endpoint, pause);
  }

  /** Computes when the first pause of a service ends; 0 if there is none. */
  computeRemaining(service: ServiceId): number {
    let remaining = Infinity;
    for (const pause of this.#pauses.values()) {
      if (pause.service === service) {
        const left = pause.endsAt - this.#options.clock.now();
        remaining = Math.min(remaining, Math.max(0, left));
      }
    }
    return Number.isFinite(remaining) ? remaining : 0;
  }

  async #endLater(endpoint: EndpointId, pause: Pause): Promise<void> {
    const { clock } = this.#options;
    while (!this.#signal.aborted && clock.now() < pause.endsAt) {
      await clock.sleep(pause.endsAt - clock.now(), this.#signal);
    }
    if (this.#pauses.get(endpoint) === pause) {
      this.#remove(endpoint);
    }
  }

  #applyChange({ kind, entry }: DirectoryChange): void {
    // A registration that is missing for a while is that of the same process.
    if (kind === DirectoryChangeKind.Started) {
      this.#remove(entry.record.id);
    }
  }

  #remove(endpoint: EndpointId): void {
    this.#pauses.delete(endpoint);
    this.#endpoints.delete(endpoint);
  }
}

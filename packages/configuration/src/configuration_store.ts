/** The process's current configuration; its version never decreases. */

import { Emitter } from "@rattanvane/base";
import type { EncodedChange } from "@rattanvane/protocol";
import { err, ok, type Result } from "neverthrow";
import { applyAcceptedChanges } from "./apply_change.ts";
import type { Change } from "./change.ts";
import { decodeChange } from "./change_codec.ts";
import type { ConfigurationError } from "./configuration_error.ts";
import { createEmptyConfiguration, type FleetConfiguration } from "./model.ts";
import { RecentChanges } from "./recent_changes.ts";

/** Holds the current configuration and the newest changes. */
export class ConfigurationStore {
  /** Emits each new configuration after it has become the current one. */
  readonly changed: Emitter<FleetConfiguration> = new Emitter();
  readonly #recent = new RecentChanges();
  #current = createEmptyConfiguration();
  #knownVersion = 0;

  /** The current configuration; at version 0 if none was received yet. */
  get current(): FleetConfiguration {
    return this.#current;
  }

  /** The highest version known to exist. */
  get knownVersion(): number {
    return this.#knownVersion;
  }

  /** Whether a higher version than the current one is known to exist. */
  get isBehind(): boolean {
    return this.#current.version < this.#knownVersion;
  }

  /** Records that a version exists in the fleet. */
  receiveVersion(version: number): void {
    this.#knownVersion = Math.max(this.#knownVersion, version);
  }

  /**
   * Applies the changes that follow the current version without a gap as one
   * update; skips older ones. Fails on a change that cannot be decoded, after
   * applying those before it.
   */
  receive(
    encoded: readonly EncodedChange[],
  ): Result<FleetConfiguration, ConfigurationError> {
    const accepted: EncodedChange[] = [];
    const changes: Change[] = [];
    let failure: ConfigurationError | undefined;
    for (const candidate of encoded) {
      const next = this.#current.version + accepted.length + 1;
      if (candidate.version !== next) {
        continue;
      }
      const change = decodeChange(candidate);
      if (change.isErr()) {
        failure = change.error;
        break;
      }
      accepted.push(candidate);
      changes.push(change.value);
    }
    if (changes.length > 0) {
      this.#recent.add(accepted);
      this.#replace(applyAcceptedChanges(this.#current, changes));
    }
    return failure === undefined ? ok(this.#current) : err(failure);
  }

  /** Replaces the configuration by a newer one; returns whether it did. */
  receiveSnapshot(configuration: FleetConfiguration): boolean {
    if (configuration.version <= this.#current.version) {
      return false;
    }
    this.#recent.clear();
    this.#replace(configuration);
    return true;
  }

  /** Lists the changes after a version; undefined if some are not held. */
  listChangesAfter(version: number): EncodedChange[] | undefined {
    return this.#recent.listAfter(version, this.#current.version);
  }

  #replace(configuration: FleetConfiguration): void {
    this.#current = configuration;
    this.receiveVersion(configuration.version);
    this.changed.emit(configuration);
  }
}

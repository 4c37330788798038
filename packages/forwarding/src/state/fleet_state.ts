/** This VM's replicated view of configuration, endpoints and zone drains. */

import {
  type Clock,
  Emitter,
  type Logger,
  type RandomSource,
} from "@rattanvane/base";
import type { FeedRow, TableFeed } from "@rattanvane/platform";
import type { ServiceId, ZoneId } from "@rattanvane/protocol";
import { RouteTable } from "../model/route_table.ts";
import type { OrderChange } from "../rollouts/rollout_coordinator.ts";
import { EndpointDirectory } from "./endpoint_directory.ts";
import type { RowDecoder } from "./row_decoder.ts";
import { type RowChange, TableReplica } from "./table_replica.ts";

const CONFIGURATION_POLL_TIMEOUT_MILLISECONDS = 1_250;
const ENDPOINTS_POLL_TIMEOUT_MILLISECONDS = 1_250;
/**
 * When the store has come back from a copy, the operator writes again what it
 * wrote, within this time.
 */
const OPERATOR_REWRITE_MILLISECONDS = 10_000;
const HELD_REMOVALS_CHECK_MILLISECONDS = 100;
/** Shorter than the time for which removals are held back. */
const EXPIRY_CHECK_MILLISECONDS = 1_000;
/**
 * A VM that gets the changes from a scheduler polls the store itself when they
 * were not confirmed for this time.
 */
const MAX_UNPOLLED_AGE_MILLISECONDS = 2_300;
/** How long a request waits for confirmation that the API keys are current. */
const KEY_CONFIRMATION_TIMEOUT_MILLISECONDS = 60;
const KEY_CONFIRMATION_POLL_MILLISECONDS = 5;

/** Dependencies and settings of a {@link FleetState}. */
export interface FleetStateOptions {
  feed: TableFeed;
  decoder: RowDecoder;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  /** Maximum age of the last confirmation that the API keys are current. */
  maxKeyAgeMilliseconds: number;
  /** Whether this VM follows the store itself, as schedulers do. */
  isPolling: () => boolean;
}

/** Replicates the store's tables and decodes their rows. */
export class FleetState {
  readonly directory: EndpointDirectory;
  readonly configuration: TableReplica;
  readonly endpoints: TableReplica;
  readonly routesChanged = new Emitter<RouteTable>();
  readonly drainsChanged = new Emitter<ZoneId>();
  readonly rolloutOrders = new Emitter<OrderChange>();
  /** Emits when the store has come back from a copy. */
  readonly storeRestored = new Emitter<void>();
  readonly #options: FleetStateOptions;
  #routes: RouteTable | undefined;
  #era = 0;
  /** When the drains end that a restored store no longer holds. */
  readonly #lostDrains = new Map<ZoneId, number>();

  constructor(options: FleetStateOptions) {
    const { decoder } = options;
    this.#options = options;
    this.directory = new EndpointDirectory(options);
    const shared = {
      ...options,
      maxUnpolledAgeMilliseconds: MAX_UNPOLLED_AGE_MILLISECONDS,
    };
    this.configuration = new TableReplica({
      ...shared,
      table: decoder.tables.operator,
      isLater: (row, other) => this.#isLaterConfiguration(row, other),
      waitMilliseconds: CONFIGURATION_POLL_TIMEOUT_MILLISECONDS,
    });
    this.endpoints = new TableReplica({
      ...shared,
      table: decoder.tables.endpoints,
      waitMilliseconds: ENDPOINTS_POLL_TIMEOUT_MILLISECONDS,
    });
  }

  /** The current routes; undefined until a configuration was applied. */
  get routes(): RouteTable | undefined {
    return this.#routes;
  }

  /** Whether the API keys were confirmed recently enough to be accepted. */
  areKeysFresh(): boolean {
    return this.configuration.freshness.computeAge() <=
      this.#options.maxKeyAgeMilliseconds;
  }

  /**
   * Polls the store at once and waits briefly for a confirmation of the API
   * keys. Returns whether the keys are fresh.
   */
  async waitForKeys(signal: AbortSignal): Promise<boolean> {
    const { clock } = this.#options;
    const endsAt = clock.now() + KEY_CONFIRMATION_TIMEOUT_MILLISECONDS;
    this.configuration.refresh();
    while (!this.areKeysFresh() && clock.now() < endsAt && !signal.aborted) {
      await clock.sleep(KEY_CONFIRMATION_POLL_MILLISECONDS, signal);
    }
    return this.areKeysFresh();
  }

  /** Replicates the tables until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    this.configuration.changes.listen(
      (change) => this.#applyOperatorRow(change),
      signal,
    );
    this.endpoints.changes.listen(
      (change) => this.#applyEndpointRow(change),
      signal,
    );
    this.endpoints.connectivityChanges.listen(({ connected }) => {
      if (connected) {
        this.directory.scheduleRemovals();
      } else {
        this.directory.holdRemovals();
      }
    }, signal);
    this.endpoints.eraChanges.listen(() => {
      this.directory.holdRestoredRemovals();
      this.#recordEra(this.endpoints.era);
    }, signal);
    this.configuration.eraChanges.listen(
      () => this.#recordEra(this.configuration.era),
      signal,
    );
    await Promise.all([
      this.configuration.run(signal),
      this.endpoints.run(signal),
      this.#runExpiryChecks(signal),
    ]);
  }

  /** Both tables tell of the same era. */
  #recordEra(era: number): void {
    if (era > this.#era) {
      this.#era = era;
      this.storeRestored.emit();
    }
  }

  async #runExpiryChecks(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const interval = this.directory.heldRemovals > 0
        ? HELD_REMOVALS_CHECK_MILLISECONDS
        : EXPIRY_CHECK_MILLISECONDS;
      await this.#options.clock.sleep(interval, signal);
      this.directory.removeExpired();
      this.#endLostDrains();
    }
  }

  #applyOperatorRow({ key, value, isRestored }: RowChange): void {
    const { clock, decoder, logger } = this.#options;
    if (decoder.isConfiguration(key)) {
      this.#applyConfiguration(value);
      return;
    }
    const service = decoder.findRolloutService(key);
    if (service !== undefined) {
      this.#applyOrder(service, { key, value, isRestored });
      return;
    }
    const zone = decoder.findDrainedZone(key);
    if (zone === undefined) {
      return;
    }
    this.#lostDrains.delete(zone);
    if (value === undefined && isRestored) {
      this.#lostDrains.set(zone, clock.now() + OPERATOR_REWRITE_MILLISECONDS);
      logger.warn("the store has lost the drain of a zone; keeping it", {
        zone,
        milliseconds: OPERATOR_REWRITE_MILLISECONDS,
      });
      return;
    }
    this.#updateDrain(zone, value !== undefined);
  }

  #applyOrder(
    service: ServiceId,
    { key, value, isRestored }: Omit<RowChange, "isConfirmed">,
  ): void {
    const { decoder, logger } = this.#options;
    const order = value === undefined
      ? undefined
      : decoder.decodeRolloutOrder(key, value);
    if (value !== undefined && order === undefined) {
      logger.warn("the order of a roll-out is not valid; ignoring it", {
        service,
      });
      return;
    }
    this.rolloutOrders.emit({ service, order, isRestored });
  }

  #updateDrain(zone: ZoneId, isDrained: boolean): void {
    if (this.directory.updateZoneDrain(zone, isDrained)) {
      this.drainsChanged.emit(zone);
    }
  }

  /** Ends the drains that the store has lost and the operator has not renewed. */
  #endLostDrains(): void {
    const now = this.#options.clock.now();
    for (const [zone, endsAt] of this.#lostDrains) {
      if (now >= endsAt) {
        this.#lostDrains.delete(zone);
        this.#updateDrain(zone, false);
      }
    }
  }

  /** The operator's own versions only rise, whatever the store does. */
  #isLaterConfiguration(row: FeedRow, other: FeedRow): boolean {
    const { decoder } = this.#options;
    if (!decoder.isConfiguration(row.key)) {
      return false;
    }
    const version = decoder.decodeConfiguration(row.value)?.version;
    const otherVersion = decoder.decodeConfiguration(other.value)?.version;
    return version !== undefined && version > (otherVersion ?? -Infinity);
  }

  #applyConfiguration(value: Uint8Array | undefined): void {
    const { decoder, logger } = this.#options;
    const decoded = value === undefined
      ? undefined
      : decoder.decodeConfiguration(value);
    if (decoded === undefined) {
      logger.warn(
        "no valid configuration in the store; keeping the previous one",
        {
          version: this.#routes?.configuration.version,
        },
      );
      return;
    }
    const former = this.#routes?.configuration.version ?? -1;
    if (decoded.version <= former) {
      return;
    }
    this.#routes = new RouteTable(decoded);
    logger.info("configuration applied", {
      version: decoded.version,
      former,
      routes: decoded.routes.length,
      organisations: decoded.organisations.length,
      costPerSecond: decoded.costPerSecond,
    });
    this.routesChanged.emit(this.#routes);
  }

  #applyEndpointRow(
    { key, value, isRestored, isConfirmed }: RowChange,
  ): void {
    if (value === undefined) {
      this.directory.remove(key, { isConfirmed });
      return;
    }
    const record = this.#options.decoder.decodeEndpoint(key, value);
    if (record === undefined) {
      this.#options.logger.warn(
        "endpoint registration is not usable; removing the endpoint",
        {
          endpoint: key,
        },
      );
      this.directory.remove(key);
      return;
    }
    if (isRestored) {
      this.directory.restore(record);
    } else {
      this.directory.update(record);
    }
  }
}

/** What this VM believes of configuration, endpoints and drains. */

import { type Clock, Emitter, type Logger } from "@rattanvane/base";
import type { TableFeed } from "@rattanvane/platform";
import type { ZoneId } from "@rattanvane/protocol";
import { RouteTable } from "../model/route_table.ts";
import type { RowDecoder } from "./configuration_source.ts";
import { EndpointDirectory } from "./endpoint_directory.ts";
import { type RowChange, TableFollower } from "./table_follower.ts";

const CONFIGURATION_WAIT_MILLISECONDS = 1_200;
const ENDPOINTS_WAIT_MILLISECONDS = 1_800;
const LAPSE_STEP_MILLISECONDS = 100;
/** How long a request waits for a proof that its key still holds. */
const PROOF_WAIT_MILLISECONDS = 60;
const PROOF_STEP_MILLISECONDS = 5;

/** What beliefs are formed from. */
export interface FleetBeliefsOptions {
  feed: TableFeed;
  decoder: RowDecoder;
  clock: Clock;
  logger: Logger;
  /** How old the proof behind a known key may be. */
  keyAgeMilliseconds: number;
}

/** Follows the store's tables and decodes their rows. */
export class FleetBeliefs {
  readonly directory: EndpointDirectory;
  readonly configuration: TableFollower;
  readonly endpoints: TableFollower;
  readonly routesChanged = new Emitter<RouteTable>();
  readonly drainsChanged = new Emitter<ZoneId>();
  readonly #options: FleetBeliefsOptions;
  #routes: RouteTable | undefined;

  constructor(options: FleetBeliefsOptions) {
    const { decoder } = options;
    this.#options = options;
    this.directory = new EndpointDirectory(options);
    this.configuration = new TableFollower({
      ...options,
      table: decoder.tables.operator,
      waitMilliseconds: CONFIGURATION_WAIT_MILLISECONDS,
    });
    this.endpoints = new TableFollower({
      ...options,
      table: decoder.tables.endpoints,
      waitMilliseconds: ENDPOINTS_WAIT_MILLISECONDS,
    });
  }

  /** The routes in force; undefined before there are any. */
  get routes(): RouteTable | undefined {
    return this.#routes;
  }

  /** Whether the known keys may be relied on. */
  areKeysFresh(): boolean {
    return this.configuration.freshness.computeAge() <=
      this.#options.keyAgeMilliseconds;
  }

  /** Asks for a proof and waits for it a short while. */
  async waitForKeys(signal: AbortSignal): Promise<boolean> {
    const { clock } = this.#options;
    const endsAt = clock.now() + PROOF_WAIT_MILLISECONDS;
    this.configuration.hurry();
    while (!this.areKeysFresh() && clock.now() < endsAt && !signal.aborted) {
      await clock.sleep(PROOF_STEP_MILLISECONDS, signal);
    }
    return this.areKeysFresh();
  }

  /** Follows the tables until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    this.configuration.changes.listen(
      (change) => this.#applyOperatorRow(change),
      signal,
    );
    this.endpoints.changes.listen(
      (change) => this.#applyEndpointRow(change),
      signal,
    );
    this.endpoints.contactChanges.listen(({ connected }) => {
      if (connected) {
        this.directory.noteStoreBack();
      } else {
        this.directory.noteStoreLost();
      }
    }, signal);
    await Promise.all([
      this.configuration.run(signal),
      this.endpoints.run(signal),
      this.#runLapses(signal),
    ]);
  }

  async #runLapses(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#options.clock.sleep(LAPSE_STEP_MILLISECONDS, signal);
      this.directory.removeLapsed();
    }
  }

  #applyOperatorRow({ key, value }: RowChange): void {
    const { decoder } = this.#options;
    if (decoder.isConfiguration(key)) {
      this.#applyConfiguration(value);
      return;
    }
    const zone = decoder.findDrainedZone(key);
    const isChange = zone !== undefined &&
      this.directory.updateDrain(zone, value !== undefined);
    if (isChange) {
      this.drainsChanged.emit(zone);
    }
  }

  #applyConfiguration(value: Uint8Array | undefined): void {
    const { decoder, logger } = this.#options;
    const decoded = value === undefined
      ? undefined
      : decoder.decodeConfiguration(value);
    if (decoded === undefined) {
      logger.warn("a configuration cannot be read; the last one stays", {
        version: this.#routes?.configuration.version,
      });
      return;
    }
    const former = this.#routes?.configuration.version ?? -1;
    if (decoded.version <= former) {
      return;
    }
    this.#routes = new RouteTable(decoded);
    logger.info("a configuration is in force", {
      version: decoded.version,
      former,
      routes: decoded.routes.length,
      organisations: decoded.organisations.length,
      costPerSecond: decoded.costPerSecond,
    });
    this.routesChanged.emit(this.#routes);
  }

  #applyEndpointRow({ key, value }: RowChange): void {
    if (value === undefined) {
      this.directory.remove(key);
      return;
    }
    const record = this.#options.decoder.decodeEndpoint(key, value);
    if (record === undefined) {
      this.#options.logger.warn("an endpoint's entry names nothing to use", {
        endpoint: key,
      });
      this.directory.remove(key);
      return;
    }
    this.directory.update(record);
  }
}

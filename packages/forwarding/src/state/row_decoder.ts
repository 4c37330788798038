/** Contract for decoding the store's configuration, drain and endpoint rows. */

import type { FeedWrite } from "@rattanvane/platform";
import type { ServiceId, ZoneId } from "@rattanvane/protocol";
import type { ForwardingConfiguration } from "../model/route.ts";
import type { EndpointRecord } from "../model/endpoint_record.ts";
import type {
  RolloutOrder,
  RolloutRecord,
} from "../rollouts/rollout_record.ts";

/** Names of the store's tables that a router reads. */
export interface TableNames {
  /** Configuration and zone drains, written by operators. */
  operator: string;
  /** Registrations, written by the endpoints themselves. */
  endpoints: string;
}

/** What operators read of a roll-out. */
export type RolloutStatus = Pick<
  RolloutRecord,
  "service" | "version" | "phase"
>;

/** Decodes rows of the operator table and of the endpoint table. */
export abstract class RowDecoder {
  abstract readonly tables: TableNames;

  /** Whether a key of the operator table holds the configuration. */
  abstract isConfiguration(key: string): boolean;

  /** Returns the zone that a key of the operator table drains, if any. */
  abstract findDrainedZone(key: string): ZoneId | undefined;

  /** Returns the service whose version a key of the operator table moves. */
  abstract findRolloutService(key: string): ServiceId | undefined;

  /** Returns undefined when the row does not hold a valid order. */
  abstract decodeRolloutOrder(
    key: string,
    value: Uint8Array,
  ): RolloutOrder | undefined;

  /** Builds the row from which operators read the state of a roll-out. */
  abstract encodeRolloutStatus(status: RolloutStatus): FeedWrite;

  /** Returns undefined when the bytes are not a valid configuration. */
  abstract decodeConfiguration(
    value: Uint8Array,
  ): ForwardingConfiguration | undefined;

  /** Returns undefined when the row does not describe a usable endpoint. */
  abstract decodeEndpoint(
    key: string,
    value: Uint8Array,
  ): EndpointRecord | undefined;
}

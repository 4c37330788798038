/** Contract: reads configuration and drains out of the operator's rows. */

import type { ZoneId } from "@rattanvane/protocol";
import type { ForwardingConfiguration } from "../model/route.ts";
import type { EndpointRecord } from "../model/endpoint_record.ts";

/** Where operators write. */
export interface TableNames {
  operator: string;
  endpoints: string;
}

/** Decodes the rows of the operator and of the endpoints. */
export abstract class RowDecoder {
  abstract readonly tables: TableNames;

  /** Whether the operator's row holds the configuration. */
  abstract isConfiguration(key: string): boolean;

  /** The zone whose drain the operator's row asks for. */
  abstract findDrainedZone(key: string): ZoneId | undefined;

  /** Undefined for bytes that are no configuration. */
  abstract decodeConfiguration(
    value: Uint8Array,
  ): ForwardingConfiguration | undefined;

  /** Undefined for an entry that names no endpoint to use. */
  abstract decodeEndpoint(
    key: string,
    value: Uint8Array,
  ): EndpointRecord | undefined;
}

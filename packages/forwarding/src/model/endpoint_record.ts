/** The registration that an endpoint writes about itself. */

import type { EndpointId, ServiceId, ZoneId } from "@rattanvane/protocol";

/** Whether an endpoint accepts new requests. */
export enum EndpointPhase {
  Up = "up",
  Draining = "draining",
}

/** The registration of one endpoint. */
export interface EndpointRecord {
  id: EndpointId;
  service: ServiceId;
  zone: ZoneId;
  host: string;
  port: number;
  phase: EndpointPhase;
  /** The number of requests that it runs concurrently. */
  slots: number;
  /** How long it remains cold, measured from the registration. */
  coldMilliseconds: number;
  /** The version of its software; unset if not stated. */
  version?: string;
  /** The Unix time of its start in milliseconds; 0 if not stated. */
  startedAtUnixMilliseconds: number;
}

/** Endpoints as they register themselves. */

import type { EndpointId, ServiceId, ZoneId } from "@rattanvane/protocol";

/** Whether an endpoint takes new requests. */
export enum EndpointPhase {
  Up = "up",
  Draining = "draining",
}

/** What an endpoint says of itself. */
export interface EndpointRecord {
  id: EndpointId;
  service: ServiceId;
  zone: ZoneId;
  host: string;
  port: number;
  phase: EndpointPhase;
  /** How many requests it runs at once. */
  slots: number;
  /** How long it stays cold, counted from the registration. */
  coldMilliseconds: number;
  /** The Unix time of its start, in milliseconds; 0 when it does not say. */
  startedAtUnixMilliseconds: number;
}

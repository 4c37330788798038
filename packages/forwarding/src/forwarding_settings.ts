/** What a router of forwarding routes is run with. */

import type { VmContact, ZoneId } from "@rattanvane/protocol";
import type { RetryBound } from "./scheduling/retry_allowance.ts";

/** An address to listen on. */
export interface ListenAddress {
  host: string;
  port: number;
}

/** The bounds that the fleet keeps to; times in milliseconds. */
export interface FleetBounds {
  /** How long a key may be honoured after it was taken away. */
  revocationMilliseconds: number;
  retries: RetryBound;
  /** Arrivals at a cold endpoint, as a multiple of what it says it bears. */
  coldFactor: number;
  /** Arrivals at a cold endpoint beyond that, from all VMs, in a second. */
  coldExtra: number;
  /** The time over which organisations' shares are even. */
  sharePeriodMilliseconds: number;
  /** From SIGTERM to the forced end. */
  graceMilliseconds: number;
}

/** Settings of one router. */
export interface ForwardingSettings {
  self: VmContact;
  zone: ZoneId;
  callers: ListenAddress;
  readiness: ListenAddress;
  /** The path that the balancer asks for. */
  readinessPath: string;
  control: ListenAddress;
  seeds: VmContact[];
  fleetKeys: string[];
  bounds: FleetBounds;
}

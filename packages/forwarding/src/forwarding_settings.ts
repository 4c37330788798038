/** Settings of the forwarding router. */

import type { VmContact, ZoneId } from "@rattanvane/protocol";
import type { HedgingSettings } from "./ingress/hedging/hedging_settings.ts";
import type { IngressSettings } from "./ingress/ingress_server.ts";
import type { RolloutSettings } from "./rollouts/rollout_record.ts";
import type { RetryBound } from "./scheduling/retry_allowance.ts";
import type { ZoneCostSettings } from "./scheduling/zone_cost.ts";

/** An address to listen on. */
export interface ListenAddress {
  host: string;
  port: number;
}

/** Bounds that the VMs of the fleet keep together; times in milliseconds. */
export interface FleetBounds {
  /** Maximum time for which a revoked API key may still be accepted. */
  revocationMilliseconds: number;
  retries: RetryBound;
  /**
   * Permitted request rate of a cold endpoint, as a multiple of the rate that
   * is configured for its service.
   */
  coldRateFactor: number;
  /** Requests per second permitted beyond that, from all VMs together. */
  coldExtraRequestsPerSecond: number;
  /** Period over which capacity is shared fairly between organisations. */
  sharePeriodMilliseconds: number;
  /** Grace period from SIGTERM to forced termination. */
  graceMilliseconds: number;
}

/** What the machine of a VM has; undefined where it is not known. */
export interface MachineLimits {
  memoryBytes?: number | undefined;
  /** What bodies and answers of callers may hold; a part of it by default. */
  callerBytes?: number | undefined;
  /** Descriptors for connections. */
  connections?: number | undefined;
}

/** Settings of one VM's router. */
export interface ForwardingSettings {
  self: VmContact;
  zone: ZoneId;
  /** The zones of the fleet, this VM's one included. */
  zones: ZoneId[];
  /** Where callers' requests are received. */
  callers: ListenAddress;
  readiness: ListenAddress;
  /** Path of the load balancer's readiness check. */
  readinessPath: string;
  /** Where connections of peers are received. */
  control: ListenAddress;
  /** VMs to connect to before the VM list has been read. */
  seeds: VmContact[];
  fleetKeys: string[];
  bounds: FleetBounds;
  /** Undefined if slow requests get no second attempt. */
  hedging?: HedgingSettings;
  machine?: MachineLimits;
  /**
   * Whether refused callers have places that they return to; unset for callers
   * that are served like new ones when they return.
   */
  keepsPlaces?: boolean;
  /** The cost of traffic between zones; undefined to treat all zones alike. */
  zoneCost?: ZoneCostSettings;
  ingress?: IngressSettings;
  /** Undefined where orders to move a service's version are ignored. */
  rollouts?: RolloutSettings | undefined;
}

/** Tuning parameters of failure detection and gossip. */

import type { VmContact } from "@rattanvane/protocol";

/** Intervals, timeouts and limits of failure detection and gossip. */
export interface MembershipSettings {
  /**
   * Seeds that are probed from the start and never expire, in addition to the
   * VMs on the platform's list.
   */
  peers: readonly VmContact[];
  /** Interval between two probes within this VM's zone. */
  probePeriodMilliseconds: number;
  /**
   * How long a direct probe waits for its reply before indirect probes are
   * requested, and how long the indirect probes may then take before the target
   * is suspected.
   */
  probeTimeoutMilliseconds: number;
  /**
   * How long replies to indirect probes may take before the target is
   * suspected.
   */
  indirectProbeTimeoutMilliseconds: number;
  /** Number of VMs that are asked to probe an unresponsive VM indirectly. */
  indirectProbes: number;
  /**
   * How long a suspected VM has to refute the suspicion before it is declared
   * dead.
   */
  suspicionMilliseconds: number;
  /** Number of probes sent to a suspected VM within that time. */
  suspicionProbes: number;
  /**
   * Interval between probes of contacts in other zones, and between probes of
   * VMs that are dead or have not answered yet.
   */
  slowProbePeriodMilliseconds: number;
  /** Number of VMs of each other zone that are kept as contacts. */
  contactsPerZone: number;
  /** How long each probe of a contact in another zone waits for its reply. */
  contactTimeoutMilliseconds: number;
  /**
   * How long dead VMs and seeds are kept and probed before they are removed.
   */
  deadRetentionMilliseconds: number;
}

/** Default values of all settings except the peers. */
export const DEFAULT_MEMBERSHIP_SETTINGS: Omit<MembershipSettings, "peers"> = {
  probePeriodMilliseconds: 200,
  probeTimeoutMilliseconds: 150,
  indirectProbeTimeoutMilliseconds: 150,
  indirectProbes: 3,
  suspicionMilliseconds: 1_050,
  suspicionProbes: 3,
  slowProbePeriodMilliseconds: 1_000,
  contactsPerZone: 3,
  contactTimeoutMilliseconds: 1_500,
  deadRetentionMilliseconds: 7_200_000,
};

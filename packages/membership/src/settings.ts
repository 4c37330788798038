/** What the failure detection of a VM can be tuned with. */

import type { VmContact } from "@rattanvane/protocol";

/** Intervals and limits of failure detection and gossip. */
export interface MembershipSettings {
  /** VMs to look for at the start and for ever, besides the platform's list. */
  peers: readonly VmContact[];
  /** The pause between two probes of VMs of the own zone. */
  probePeriodMilliseconds: number;
  /**
   * How long a probe waits before other VMs are asked to probe as well, and
   * again before the suspicion.
   */
  probeTimeoutMilliseconds: number;
  /** How long the others' answers are waited for before the suspicion. */
  inprobeTimeoutMilliseconds: number;
  /** How many VMs are asked to probe a VM that did not answer. */
  indirectProbes: number;
  /** How long a suspect may take to answer before it is held dead. */
  suspicionMilliseconds: number;
  /** How often a suspect is probed again in that time. */
  suspicionProbes: number;
  /** The pause between probes of other zones' contacts and of missing VMs. */
  slowProbePeriodMilliseconds: number;
  /** How many VMs of each other zone are kept as contacts. */
  contactsPerZone: number;
  /** How long an answer of another zone's contact is waited for. */
  contactTimeoutMilliseconds: number;
  /** How long a dead VM is remembered and looked for. */
  forgetMilliseconds: number;
}

/** The defaults of all settings but the peers. */
export const DEFAULT_MEMBERSHIP_SETTINGS: Omit<MembershipSettings, "peers"> = {
  probePeriodMilliseconds: 200,
  probeTimeoutMilliseconds: 150,
  inprobeTimeoutMilliseconds: 150,
  indirectProbes: 3,
  suspicionMilliseconds: 1_050,
  suspicionProbes: 3,
  slowProbePeriodMilliseconds: 1_000,
  contactsPerZone: 3,
  contactTimeoutMilliseconds: 1_500,
  forgetMilliseconds: 7_200_000,
};

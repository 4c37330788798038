/**
 * Failure detection and gossip dissemination between the VMs of an availability
 * zone.
 */

export { GossipExchange, type LocalGossip } from "./gossip_exchange.ts";
export { Membership, type MembershipOptions } from "./membership.ts";
export {
  DEFAULT_MEMBERSHIP_SETTINGS,
  type MembershipSettings,
} from "./settings.ts";
export {
  type MembershipChange,
  MembershipChangeKind,
  ZoneView,
} from "./zone_view.ts";

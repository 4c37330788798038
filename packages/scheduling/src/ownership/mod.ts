/** Pool ownership: terms, leases and the selection of the VM that schedules. */

export type { HeldPoolStatus, PoolOwnershipOptions } from "./pool_ownership.ts";
export { PoolOwnership } from "./pool_ownership.ts";
export {
  type Acquisition,
  LossReason,
  OwnershipListener,
  type TermChange,
} from "./ownership_listener.ts";
export {
  DEFAULT_OWNERSHIP_SETTINGS,
  type OwnershipSettings,
} from "./settings.ts";
export { Rendezvous } from "./rendezvous.ts";
export { TermRegistry } from "./term_registry.ts";

/** Who schedules a pool: terms, leases and the choice of the VM. */

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
export { TermBook } from "./term_book.ts";

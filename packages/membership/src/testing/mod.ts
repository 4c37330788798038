/** Test support for membership, also used by the tests of other packages. */

export { FreezableClock } from "./freezable_clock.ts";
export {
  MemoryNetwork,
  type MemoryNetworkOptions,
  type NetworkMember,
} from "./memory_network.ts";

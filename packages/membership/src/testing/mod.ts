/** Test support of membership, for the tests of other packages. */

export { FreezableClock } from "./freezable_clock.ts";
export {
  MemoryNetwork,
  type MemoryNetworkOptions,
  type NetworkMember,
} from "./memory_network.ts";

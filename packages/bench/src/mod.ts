/** Test support: local fleets of real processes, the demo, load and experiments. */

export { BenchError, BenchErrorKind } from "./common/bench_error.ts";
export { JsonClient } from "./common/json_client.ts";
export { type WaitOptions, waitUntil } from "./common/wait.ts";
export { Fleet, type FleetParts, startFleet } from "./fleet/fleet.ts";
export * from "./fleet/fleet_endpoint.ts";
export {
  createFleetOptions,
  createOrganisation,
  type FleetOptions,
  type FleetOrganisation,
  MODEL_SERVICE,
  PLAIN_SERVICE,
} from "./fleet/fleet_options.ts";
export {
  type FleetLink,
  FleetNetwork,
  PLATFORM,
} from "./fleet/fleet_network.ts";
export { FleetRouter } from "./fleet/fleet_router.ts";
export { FleetConfigurator } from "./fleet/fleet_configuration.ts";
export { FleetPlatform } from "./fleet/fleet_platform.ts";
export { ManagedProcess } from "./fleet/managed_process.ts";
export type { LogLine, LogQuery } from "./fleet/process_log.ts";
export * from "./load/call_record.ts";
export * from "./load/completion_caller.ts";
export {
  type LoadOptions,
  runClosedLoop,
  runOpenLoop,
} from "./load/load_loops.ts";
export { generateCall, type LoadSource } from "./load/load_source.ts";
export {
  type LatencySummary,
  LoadTally,
  type OrganisationSummary,
} from "./load/load_tally.ts";
export {
  type PlainCall,
  PlainCaller,
  type PlainResult,
} from "./load/plain_caller.ts";
export { ServiceMeter } from "./load/service_meter.ts";

/** Public API of the forwarding router that runs on every VM. */

export {
  type RolloutStatus,
  RowDecoder,
  type TableNames,
} from "./state/row_decoder.ts";
export {
  type RolloutOrder,
  RolloutPhase,
  type RolloutSettings,
} from "./rollouts/rollout_record.ts";
export {
  ForwardingRouter,
  type ForwardingRouterOptions,
} from "./forwarding_router.ts";
export type {
  FleetBounds,
  ForwardingSettings,
  ListenAddress,
  MachineLimits,
} from "./forwarding_settings.ts";
export type { CallIdentity, Prompt, PromptPart } from "./model/call.ts";
export {
  type AnswerHeaders,
  type AnswerMetadata,
  type AttemptHeaders,
  Dialect,
  type ReportedLoad,
} from "./model/dialect.ts";
export { EndpointPhase, type EndpointRecord } from "./model/endpoint_record.ts";
export {
  type CallerLimits,
  type EngineCapacity,
  type ForwardedService,
  type ForwardingConfiguration,
  type ForwardingOrganisation,
  type ForwardingRoute,
  Repeatability,
  type RouteTarget,
} from "./model/route.ts";

/** Endpoint limits, cold starts, suspects and quarantine, and callers' memory. */

export {
  CallerMemory,
  type CallerMemoryOptions,
  CallerShare,
  computeUnreadBytes,
  HeldKind,
} from "./caller_memory.ts";
export {
  type BootReport,
  CrashEvidence,
  type LostAttempt,
} from "./crash_evidence.ts";
export { EndpointState } from "./endpoint_health.ts";
export { EndpointLimit } from "./endpoint_limit.ts";
export {
  type AttemptEnd,
  EndpointEvent,
  type EndpointLimitOptions,
} from "./endpoint_limit_types.ts";
export type { LimitBounds } from "./adaptive_limit.ts";
export type { ReportedLoad } from "./reported_load.ts";
export { RequestTurns, waitForClose } from "./request_turns.ts";
export {
  DEFAULT_RETRY_BUDGET_SETTINGS,
  RetryBudget,
  type RetryBudgetSettings,
} from "./retry_budget.ts";
export {
  DEFAULT_ENDPOINT_LIMIT_SETTINGS,
  type EndpointLimitSettings,
} from "./settings.ts";
export {
  DEFAULT_SUSPECT_SETTINGS,
  SuspectRegistry,
  type SuspectSettings,
} from "./suspect_registry.ts";

/** At-most-once execution of non-idempotent calls by their idempotency keys. */

export {
  type CallerKeyPolicy,
  parseKeyDate,
  validateCallerKey,
} from "./caller_key.ts";
export { CallRegistry, type CallRegistryOptions } from "./call_registry.ts";
export {
  ForwardingRowWriter,
  type ForwardingRowWriterOptions,
} from "./forwarding_row_writer.ts";
export { pickCollector, pickCollectors } from "./collectors.ts";
export * from "./execution.ts";
export { generateKeySecret } from "./issued_keys.ts";
export {
  isIssuedKey,
  type IssuedKey,
  IssuedKeys,
  type IssuedKeysOptions,
  parseIssuedKey,
} from "./issued_keys.ts";
export { KeyError, KeyErrorKind } from "./key_error.ts";
export {
  CallForwarder,
  KeyForwarder,
  type KeyForwarderOptions,
  type RunForwarded,
} from "./key_forwarder.ts";
export { KeyedCalls, type KeyedCallsOptions } from "./keyed_calls.ts";
export {
  LocalRowWriter,
  type LocalRowWriterOptions,
} from "./local_row_writer.ts";
export { DEFAULT_ONCE_LIMITS, type OnceLimits } from "./once_limits.ts";
export { RowCleaner, type RowCleanerOptions } from "./row_cleaner.ts";
export { type ConditionalWrite, RowWriter } from "./row_writer.ts";

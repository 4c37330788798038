/** The fleet's configuration. */

export { applyAcceptedChanges, applyChange } from "./apply_change.ts";
export { type Change, type Operation, OperationKind } from "./change.ts";
export {
  decodeChange,
  decodeSnapshot,
  encodeChange,
  encodeSnapshot,
} from "./change_codec.ts";
export {
  ConfigurationError,
  ConfigurationErrorKind,
  type ConfigurationErrorOptions,
} from "./configuration_error.ts";
export * from "./model.ts";
export { operationSchema } from "./operation_schema.ts";

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
  collectDifferences,
  type FieldChange,
  type PartChange,
  PartChangeKind,
} from "./collect_differences.ts";
export {
  ConfigurationError,
  ConfigurationErrorKind,
  type ConfigurationErrorOptions,
} from "./configuration_error.ts";
export {
  ConfigurationLog,
  type LogContents,
  type LogHead,
} from "./configuration_log.ts";
export { type JoinOptions, waitUntilJoined } from "./configuration_join.ts";
export {
  ConfigurationPeer,
  type ConfigurationPeerOptions,
} from "./configuration_peer.ts";
export { ConfigurationStore } from "./configuration_store.ts";
export {
  ConfigurationWatcher,
  type ConfigurationWatcherOptions,
} from "./configuration_watcher.ts";
export { describeOperation } from "./describe_operation.ts";
export {
  type AppendRequest,
  LogWriter,
  type LogWriterOptions,
} from "./log_writer.ts";
export * from "./model.ts";
export { operationSchema } from "./operation_schema.ts";
export {
  describeDifference,
  type Difference,
  DifferenceReason,
} from "./questionnaire/difference.ts";
export {
  type AnsweredQuestionnaire,
  type GeneratedOperations,
  generateOperations,
} from "./questionnaire/generate_operations.ts";
export {
  type Questionnaire,
  questionnaireSchema,
} from "./questionnaire/questionnaire.ts";
export {
  buildQuestionnaireRow,
  readQuestionnaire,
} from "./questionnaire/questionnaire_archive.ts";
export { renderQuestionnaire } from "./questionnaire/questionnaire_form.ts";
export { type ChangeFile, changeFileSchema } from "./change_file.ts";

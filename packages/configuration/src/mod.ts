/** The fleet's configuration. */

export { type Change, type Operation, OperationKind } from "./change.ts";
export * from "./model.ts";

/** The inner protocol between routers. */

export * from "./configuration_messages.ts";
export * from "./identifiers.ts";
export * from "./key_messages.ts";
export * from "./membership_messages.ts";
export { MessageKind } from "./message_kind.ts";
export { MessageSender } from "./message_sender.ts";
export type * from "./messages.ts";
export * from "./scheduling_messages.ts";

/** The internal protocol between routers. */

export * from "./admission_messages.ts";
export { decodeMessage, encodeMessage } from "./codec.ts";
export * from "./configuration_messages.ts";
export * from "./forwarding_messages.ts";
export { MAXIMUM_FRAME_BYTES } from "./frame.ts";
export { PROTOCOL_VERSION } from "./handshake.ts";
export * from "./identifiers.ts";
export * from "./key_messages.ts";
export * from "./membership_messages.ts";
export { MessageKind } from "./message_kind.ts";
export { MessageSender } from "./message_sender.ts";
export type * from "./messages.ts";
export {
  type LinkChange,
  PeerNetwork,
  type PeerNetworkOptions,
  type TrafficCounters,
} from "./peer_network.ts";
export { ProtocolError, ProtocolErrorKind } from "./protocol_error.ts";
export * from "./row_messages.ts";
export * from "./scheduling_messages.ts";

/** Interfaces of the external systems and their HTTP clients. */

export * from "./endpoint_client.ts";
export { EndpointError, EndpointErrorKind } from "./endpoint_error.ts";
export { HeaderName } from "./headers.ts";
export { addAbortListener } from "./http/abort_listener.ts";
export { BodyTooLongError, readBody } from "./http/body_reader.ts";
export { ConnectionEnd, FramingLimitError } from "./http/answer_connection.ts";
export {
  BrokenAnswerError,
  type CheckedPool,
  type CheckedPoolOptions,
  createCheckedPool,
  InvalidAnswerError,
} from "./http/checked_pool.ts";
export {
  ConnectError,
  type ConnectorOptions,
  createConnector,
} from "./http/connector.ts";
export { collectForwardedHeaders } from "./http/endpoint_headers.ts";
export { type PlatformCall, PlatformCallKind } from "./http/platform_call.ts";
export {
  HttpEndpointClient,
  type HttpEndpointClientOptions,
} from "./http/http_endpoint_client.ts";
export { HttpObjectStore } from "./http/http_object_store.ts";
export {
  HttpTableService,
  MAXIMUM_TRANSACTION_WRITES,
} from "./http/http_table_service.ts";
export { HttpVmList } from "./http/http_vm_list.ts";
export {
  computeVmRates,
  DEFAULT_FLEET_RATES,
  PlatformBudget,
  type PlatformRates,
} from "./http/platform_budget.ts";
export {
  PlatformTransport,
  type PlatformTransportOptions,
} from "./http/platform_transport.ts";
export {
  readStreamEvents,
  type StreamEvent,
  StreamEvents,
  type StreamEventsOptions,
} from "./http/stream_events.ts";
export { ObjectStore } from "./object_store.ts";
export { PlatformError, PlatformErrorKind } from "./platform_error.ts";
export * from "./table_feed.ts";
export * from "./table_service.ts";
export * from "./vm_list.ts";

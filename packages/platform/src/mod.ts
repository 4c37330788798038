/** Contracts of the outside systems and their HTTP clients. */

export * from "./endpoint_client.ts";
export { EndpointError, EndpointErrorKind } from "./endpoint_error.ts";
export { HeaderName } from "./headers.ts";
export { ObjectStore } from "./object_store.ts";
export { PlatformError, PlatformErrorKind } from "./platform_error.ts";
export * from "./table_service.ts";
export * from "./vm_list.ts";

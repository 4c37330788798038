/** In-memory fakes of the platform services, for the tests of other packages. */

export { MemoryObjectStore } from "./memory_object_store.ts";
export { MemoryTableService } from "./memory_table_service.ts";
export { PlatformFaults } from "./platform_faults.ts";

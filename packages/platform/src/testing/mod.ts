/** Fakes of the platform services and broken answers, for all packages' tests. */

export { type AnswerFormat, INVALID_HEADS } from "./invalid_heads.ts";
export { MemoryObjectStore } from "./memory_object_store.ts";
export { MemoryTableService } from "./memory_table_service.ts";
export { PlatformFaults } from "./platform_faults.ts";

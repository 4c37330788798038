/** Test support: stand-ins of the platform, the engines and the plain services, and a fault-injecting proxy. */

export {
  type ChatMessage,
  computeTokenCount,
  formatChatPrompt,
  generateAnswer,
  generateTokens,
} from "./engine/answer_text.ts";
export type { EngineCounters } from "./engine/engine_counters.ts";
export {
  createEngineOptions,
  type EngineOptions,
} from "./engine/engine_options.ts";
export {
  EngineServer,
  type EngineServerOptions,
} from "./engine/engine_server.ts";
export { computeStock } from "./plain/plain_calls.ts";
export { type PlainOptions, PlainServer } from "./plain/plain_server.ts";
export type { PlatformCounters } from "./platform/platform_counters.ts";
export {
  type PlatformOptions,
  PlatformServer,
} from "./platform/platform_server.ts";
export { Blackhole, type LinkFaults } from "./proxy/link.ts";
export { type ProxyOptions, ProxyServer } from "./proxy/proxy_server.ts";

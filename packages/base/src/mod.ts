/** Clock, random numbers, errors, logging and asynchronous utilities. */

export { type BackoffOptions, computeBackoff } from "./common/backoff.ts";
export { ByteCollector } from "./common/byte_collector.ts";
export { ChildAbort, createLifetime } from "./common/child_abort.ts";
export { Clock, ManualClock, SystemClock } from "./common/clock.ts";
export { Deferred } from "./common/deferred.ts";
export { Emitter } from "./common/emitter.ts";
export {
  describeError,
  ProductError,
  type ProductErrorOptions,
} from "./common/product_error.ts";
export { RandomSource } from "./common/random.ts";
export { computePairScore, hashText } from "./common/text_hash.ts";
export { type DeadlineOptions, runWithDeadline } from "./common/timeout.ts";
export {
  BufferCollector,
  type BufferCollectorOptions,
} from "./node/buffer_collector.ts";
export { ConnectionLimit } from "./node/connection_limit.ts";
export {
  createBufferedLogger,
  createLogger,
  createSilentLogger,
  type LogFields,
  Logger,
  LogLevel,
} from "./node/logger.ts";
export { RecordingLogger } from "./node/recording_logger.ts";
export { RendezvousScores } from "./node/rendezvous_scores.ts";

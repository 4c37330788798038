/** Contract of the platform's object store. */

import type { Result } from "neverthrow";
import type { PlatformError } from "./platform_error.ts";

/** A store of named byte sequences. */
export abstract class ObjectStore {
  /** Reads an object; undefined when there is none. */
  abstract get(
    name: string,
    signal: AbortSignal,
  ): Promise<Result<Uint8Array | undefined, PlatformError>>;

  /** Writes an object, replacing what was there. */
  abstract put(
    name: string,
    content: Uint8Array,
    signal: AbortSignal,
  ): Promise<Result<void, PlatformError>>;

  /** Lists the names that start with a prefix, in order. */
  abstract list(
    prefix: string,
    signal: AbortSignal,
  ): Promise<Result<string[], PlatformError>>;

  /** Deletes an object; it is no error when there is none. */
  abstract delete(
    name: string,
    signal: AbortSignal,
  ): Promise<Result<void, PlatformError>>;
}

/** Interface of the platform's object store. */

import type { Result } from "neverthrow";
import type { PlatformError } from "./platform_error.ts";

/** A store of binary objects, addressed by name. */
export abstract class ObjectStore {
  /** Reads an object; undefined if it does not exist. */
  abstract get(
    name: string,
    signal: AbortSignal,
  ): Promise<Result<Uint8Array | undefined, PlatformError>>;

  /** Writes an object, replacing any existing one of that name. */
  abstract put(
    name: string,
    content: Uint8Array,
    signal: AbortSignal,
  ): Promise<Result<void, PlatformError>>;

  /** Lists the names that start with a prefix, in ascending order. */
  abstract list(
    prefix: string,
    signal: AbortSignal,
  ): Promise<Result<string[], PlatformError>>;

  /** Deletes an object; succeeds if it does not exist. */
  abstract delete(
    name: string,
    signal: AbortSignal,
  ): Promise<Result<void, PlatformError>>;
}

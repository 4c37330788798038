/** An in-memory object store for tests. */

import { ok, type Result } from "neverthrow";
import { ObjectStore } from "../object_store.ts";
import type { PlatformError } from "../platform_error.ts";
import type { PlatformFaults } from "./platform_faults.ts";

/** Stores objects in memory; injects the configured faults. */
export class MemoryObjectStore extends ObjectStore {
  readonly faults: PlatformFaults;
  readonly #objects = new Map<string, Uint8Array>();

  constructor(faults: PlatformFaults) {
    super();
    this.faults = faults;
  }

  override get(
    name: string,
    signal: AbortSignal,
  ): Promise<Result<Uint8Array | undefined, PlatformError>> {
    return this.faults.read(() => this.#objects.get(name), signal);
  }

  override put(
    name: string,
    content: Uint8Array,
    signal: AbortSignal,
  ): Promise<Result<void, PlatformError>> {
    return this.faults.write(() => {
      this.#objects.set(name, content.slice());
      return ok(undefined);
    }, signal);
  }

  override list(
    prefix: string,
    signal: AbortSignal,
  ): Promise<Result<string[], PlatformError>> {
    return this.faults.read(() => this.#listNames(prefix), signal);
  }

  override delete(
    name: string,
    signal: AbortSignal,
  ): Promise<Result<void, PlatformError>> {
    return this.faults.write(() => {
      this.#objects.delete(name);
      return ok(undefined);
    }, signal);
  }

  #listNames(prefix: string): string[] {
    return [...this.#objects.keys()]
      .filter((name) => name.startsWith(prefix))
      .sort();
  }
}

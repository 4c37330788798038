/** Collects buffers that are no longer used before they fill the memory. */

import { getHeapStatistics, setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** How many new bytes are counted between two looks at the memory. */
const CHECK_BYTES = 2 * 1024 * 1024;
/** What may wait to be collected; V8 itself allows four times as much. */
const MAX_UNUSED_BYTES = 16 * 1024 * 1024;

/** Runs the garbage collector, for young objects only or for all. */
type CollectGarbage = (options: { type: "minor" | "major" }) => void;

/** Settings of a {@link BufferCollector}. */
export interface BufferCollectorOptions {
  /** The bytes of buffers that are in use. */
  readHeldBytes: () => number;
  /** That of Node.js by default. */
  collectGarbage?: CollectGarbage;
  /** The bytes of all buffers. */
  readBufferBytes?: () => number;
}

/**
 * V8 counts a buffer by the object that refers to it, and lets buffers of 64 MB
 * in all become unused before it looks at them.
 *
 * Load: callers and endpoints that send much at a time, on a small machine.
 */
export class BufferCollector {
  readonly #options: BufferCollectorOptions;
  readonly #restingBytes: number;
  readonly #collectGarbage: CollectGarbage;
  #uncheckedBytes = 0;

  constructor(options: BufferCollectorOptions) {
    this.#options = options;
    this.#collectGarbage = options.collectGarbage ??
      createGarbageCollection();
    this.#restingBytes = this.#readBufferBytes();
  }

  /** Counts the bytes of new buffers; may collect unused ones. */
  record(bytes: number): void {
    this.#uncheckedBytes += bytes;
    if (this.#uncheckedBytes < CHECK_BYTES) {
      return;
    }
    this.#uncheckedBytes = 0;
    for (const type of ["minor", "major"] as const) {
      if (!this.#hasManyUnused()) {
        return;
      }
      this.#collectGarbage({ type });
    }
    if (this.#hasManyUnused()) {
      // What is left is in use by others, so that the next look can wait.
      this.#uncheckedBytes = -MAX_UNUSED_BYTES;
    }
  }

  /** Buffers that grow have up to twice the length of what they hold. */
  #hasManyUnused(): boolean {
    const used = this.#restingBytes + 2 * this.#options.readHeldBytes();
    return this.#readBufferBytes() - used > MAX_UNUSED_BYTES;
  }

  #readBufferBytes(): number {
    return this.#options.readBufferBytes?.() ??
      getHeapStatistics().external_memory;
  }
}

/** V8 has the function in contexts that are created after the flag was set. */
function createGarbageCollection(): CollectGarbage {
  setFlagsFromString("--expose-gc");
  return runInNewContext("gc") as CollectGarbage;
}

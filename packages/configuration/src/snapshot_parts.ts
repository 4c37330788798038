/** Puts a snapshot together that came in parts. */

import { Buffer } from "node:buffer";
import type { SnapshotPart, SnapshotPosition } from "@rattanvane/protocol";

const LARGEST_SNAPSHOT_BYTES = 64 * 1_024 * 1_024;

/** Collects the parts of one snapshot in order. */
export class SnapshotParts {
  #contents: Uint8Array[] = [];
  #version = 0;
  #receivedBytes = 0;
  #totalBytes = 0;

  /** Where the next part has to start. */
  get position(): SnapshotPosition {
    return { version: this.#version, offset: this.#receivedBytes };
  }

  get isComplete(): boolean {
    return this.#receivedBytes === this.#totalBytes;
  }

  /**
   * Adds a part. A part of another version at offset 0 starts over; anything
   * else that does not follow, or that brings nothing, is refused.
   */
  add(part: SnapshotPart): boolean {
    if (part.version !== this.#version && part.offset === 0) {
      this.#contents = [];
      this.#version = part.version;
      this.#receivedBytes = 0;
      this.#totalBytes = part.totalBytes;
    }
    const end = part.offset + part.content.length;
    const follows = part.version === this.#version &&
      part.offset === this.#receivedBytes &&
      part.content.length > 0 &&
      end <= Math.min(this.#totalBytes, LARGEST_SNAPSHOT_BYTES);
    if (!follows) {
      return false;
    }
    this.#contents.push(part.content);
    this.#receivedBytes = end;
    return true;
  }

  /** The whole snapshot. */
  build(): Uint8Array {
    return Buffer.concat(this.#contents);
  }
}

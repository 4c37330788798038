/** Reassembles a snapshot that is received in parts. */

import { Buffer } from "node:buffer";
import type { SnapshotPart, SnapshotPosition } from "@rattanvane/protocol";

const MAXIMUM_SNAPSHOT_BYTES = 64 * 1_024 * 1_024;

/** Collects the parts of one snapshot in order. */
export class SnapshotAssembler {
  #contents: Uint8Array[] = [];
  #version = 0;
  #receivedBytes = 0;
  #totalBytes = 0;

  /** The position at which the next part must start. */
  get position(): SnapshotPosition {
    return { version: this.#version, offset: this.#receivedBytes };
  }

  get isComplete(): boolean {
    return this.#receivedBytes === this.#totalBytes;
  }

  /**
   * Adds a part; returns whether it was accepted. A part of another version at
   * offset 0 restarts the assembly; any other part that is empty or out of
   * sequence is rejected.
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
      end <= Math.min(this.#totalBytes, MAXIMUM_SNAPSHOT_BYTES);
    if (!follows) {
      return false;
    }
    this.#contents.push(part.content);
    this.#receivedBytes = end;
    return true;
  }

  /** Concatenates the parts. */
  build(): Uint8Array {
    return Buffer.concat(this.#contents);
  }
}

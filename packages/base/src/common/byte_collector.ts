/** Collection of bytes that arrive in pieces. */

const MIN_CAPACITY_BYTES = 256;

/**
 * Collects bytes in one buffer, so that the memory in use depends on their
 * number and not on the number or size of the pieces they arrive in.
 */
export class ByteCollector {
  #buffer = new Uint8Array();
  #length = 0;

  /** The number of collected bytes. */
  get length(): number {
    return this.#length;
  }

  /** The number of bytes of memory that the collection takes. */
  get capacity(): number {
    return this.#buffer.length;
  }

  /** The last collected byte; undefined if there is none. */
  get lastByte(): number | undefined {
    return this.#length === 0 ? undefined : this.#buffer[this.#length - 1];
  }

  /** Appends a copy of a piece; the piece is not retained. */
  append(piece: Uint8Array): void {
    const length = this.#length + piece.length;
    if (length > this.#buffer.length) {
      this.#grow(length);
    }
    this.#buffer.set(piece, this.#length);
    this.#length = length;
  }

  /** Returns the collected bytes and starts an empty collection. */
  take(): Uint8Array {
    const bytes = this.#buffer.subarray(0, this.#length);
    this.clear();
    return bytes;
  }

  /** Discards the collected bytes. */
  clear(): void {
    this.#buffer = new Uint8Array();
    this.#length = 0;
  }

  #grow(length: number): void {
    const capacity = this.#buffer.length === 0
      ? length
      : Math.max(length, 2 * this.#buffer.length, MIN_CAPACITY_BYTES);
    const buffer = new Uint8Array(capacity);
    buffer.set(this.#buffer.subarray(0, this.#length));
    this.#buffer = buffer;
  }
}

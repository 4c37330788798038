/** Limits the memory of all answers that a VM holds until they are complete. */

/** An answer of which bytes are held. */
export interface HeldAnswer {
  /** The number of bytes that are held now. */
  readonly heldBytes: number;
  /** Gives the answer up and releases its bytes. */
  giveUp(): void;
}

/**
 * Counts the bytes of incomplete answers and events. Above the limit, the
 * longest answer is given up, so that faulty endpoints, which send without end,
 * take no memory from the answers of others.
 */
export class AnswerMemory {
  readonly #maxBytes: number;
  readonly #answers = new Map<HeldAnswer, number>();
  #bytes = 0;

  /** Creates an empty count with a limit in bytes. */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** The number of bytes that are held. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Whether half of the limit is in use. */
  get isContested(): boolean {
    return this.#bytes > this.#maxBytes / 2;
  }

  /** Counts the bytes of an answer anew; may give up this or another one. */
  update(answer: HeldAnswer): void {
    const { heldBytes } = answer;
    this.#bytes += heldBytes - (this.#answers.get(answer) ?? 0);
    if (heldBytes === 0) {
      this.#answers.delete(answer);
    } else {
      this.#answers.set(answer, heldBytes);
    }
    if (this.#bytes > this.#maxBytes) {
      this.#findLongest()?.giveUp();
    }
  }

  #findLongest(): HeldAnswer | undefined {
    let longest: HeldAnswer | undefined;
    for (const [answer, bytes] of this.#answers) {
      if (longest === undefined || bytes > longest.heldBytes) {
        longest = answer;
      }
    }
    return longest;
  }
}

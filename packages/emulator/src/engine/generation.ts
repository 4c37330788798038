/** One request while the engine generates its answer. */

import { Deferred } from "@rattanvane/base";

/** How far a generation has come. */
export enum GenerationState {
  Running = "running",
  Completed = "completed",
  Cancelled = "cancelled",
  Crashed = "crashed",
}

/** What a generation is made from. */
export interface GenerationRequest {
  attempt: string;
  prompt: string;
  /** All tokens of the answer. */
  tokens: string[];
  /** How many of them were delivered before, by this or another engine. */
  firstOffset: number;
  /** Whether the answer is a chat's. */
  isChat: boolean;
}

/** The tokens generated so far and the news of more. */
export class Generation {
  readonly request: GenerationRequest;
  /** Not before this time does the first token come. */
  readonly firstTokenAt: number;
  state = GenerationState.Running;
  /** How many tokens there are by now, those delivered before included. */
  generated: number;
  #progress = new Deferred<void>();

  constructor(request: GenerationRequest, firstTokenAt: number) {
    this.request = request;
    this.firstTokenAt = firstTokenAt;
    this.generated = request.firstOffset;
  }

  /** Whether all tokens are there. */
  get isWhole(): boolean {
    return this.generated >= this.request.tokens.length;
  }

  /** Adds the next token. */
  addToken(): void {
    this.generated++;
    this.wake();
  }

  /** Ends the generation. */
  finish(state: GenerationState): void {
    if (this.state === GenerationState.Running) {
      this.state = state;
      this.wake();
    }
  }

  /** Resolves at the next token or wake, or when it has ended already. */
  async waitForProgress(): Promise<void> {
    if (this.state === GenerationState.Running) {
      await this.#progress.promise;
    }
  }

  /** Lets those that wait look again, for example at a closed connection. */
  wake(): void {
    const progress = this.#progress;
    this.#progress = new Deferred<void>();
    progress.resolve();
  }
}

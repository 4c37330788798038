/** Keeps a copy of a followed table current. */

import { createHash } from "node:crypto";
import { ChildAbort, type Clock, Emitter, type Logger } from "@rattanvane/base";
import {
  type FeedRow,
  PlatformErrorKind,
  type TableFeed,
} from "@rattanvane/platform";
import { Freshness } from "./freshness.ts";

const DIGEST_CHARACTERS = 16;
const FIRST_PAUSE_MILLISECONDS = 40;
const LONGEST_PAUSE_MILLISECONDS = 400;

/** What a follower works with. */
export interface TableFollowerOptions {
  table: string;
  feed: TableFeed;
  clock: Clock;
  logger: Logger;
  /** How long one question waits for changes. */
  waitMilliseconds: number;
}

/** A row that was written, or removed. */
export interface RowChange {
  key: string;
  value: Uint8Array | undefined;
}

/** The store was lost, or is back. */
export interface ContactChange {
  connected: boolean;
}

/** Follows one table and tells of every change in it. */
export class TableFollower {
  readonly freshness: Freshness;
  readonly changes = new Emitter<RowChange>();
  readonly contactChanges = new Emitter<ContactChange>();
  readonly #options: TableFollowerOptions;
  readonly #rows = new Map<string, FeedRow>();
  #version = -1;
  #digest = "";
  #connected = true;
  #failures = 0;
  /** The next question is answered at once. */
  #hurried = true;
  #question: ChildAbort | undefined;

  constructor(options: TableFollowerOptions) {
    this.#options = options;
    this.freshness = new Freshness(options.clock);
  }

  get table(): string {
    return this.#options.table;
  }

  /** The store's version up to which the copy is whole; -1 for no copy. */
  get version(): number {
    return this.#version;
  }

  /** Whether the store answered the last question. */
  get connected(): boolean {
    return this.#connected;
  }

  /** Equal for equal rows. */
  get digest(): string {
    return this.#digest;
  }

  listRows(): FeedRow[] {
    return [...this.#rows.values()];
  }

  /** Asks at once instead of waiting for changes. */
  hurry(): void {
    if (!this.#hurried) {
      this.#hurried = true;
      this.#question?.abort();
    }
  }

  /** Takes over a peer's copy if it is newer. */
  merge(copy: { version: number; rows: readonly FeedRow[] }): void {
    if (copy.version > this.#version) {
      this.#replaceRows(copy);
    }
  }

  /** Follows the table until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const question = new ChildAbort(signal);
      this.#question = question;
      const answered = await this.#ask(question.signal);
      const wasHurried = question.signal.aborted;
      question.abort();
      this.#question = undefined;
      if (!answered && !wasHurried) {
        await this.#options.clock.sleep(this.#computePause(), signal);
      }
    }
  }

  async #ask(signal: AbortSignal): Promise<boolean> {
    const asked = this.freshness.readQuestionTime();
    const answered = this.#version < 0
      ? await this.#readAll(signal)
      : await this.#readChanges(signal);
    if (answered) {
      this.freshness.confirm(asked);
    }
    return answered;
  }

  async #readAll(signal: AbortSignal): Promise<boolean> {
    const { feed, table } = this.#options;
    const snapshot = await feed.readTable(table, signal);
    if (snapshot.isErr()) {
      this.#noteFailure(snapshot.error.message, signal);
      return false;
    }
    this.#noteAnswer();
    this.#replaceRows(snapshot.value);
    return true;
  }

  async #readChanges(signal: AbortSignal): Promise<boolean> {
    const { feed, table } = this.#options;
    const waitMilliseconds = this.#hurried ? 0 : this.#options.waitMilliseconds;
    this.#hurried = false;
    const position = { table, version: this.#version, waitMilliseconds };
    const changes = await feed.waitForChanges(position, signal);
    if (changes.isErr()) {
      this.#handleFailure(changes.error.kind, changes.error.message, signal);
      return false;
    }
    this.#noteAnswer();
    for (const { key, row } of changes.value.changes) {
      this.#applyRow(key, row);
    }
    if (changes.value.changes.length > 0) {
      this.#updateDigest();
    }
    this.#version = Math.max(this.#version, changes.value.version);
    return true;
  }

  #handleFailure(
    kind: PlatformErrorKind,
    reason: string,
    signal: AbortSignal,
  ): void {
    if (kind !== PlatformErrorKind.HistoryGone) {
      this.#noteFailure(reason, signal);
      return;
    }
    this.#options.logger.warn("the history is gone; reads the table again", {
      table: this.#options.table,
      version: this.#version,
    });
    this.#version = -1;
  }

  #replaceRows(
    copy: { version: number; rows: readonly FeedRow[] },
  ): void {
    const listed = new Set<string>();
    for (const row of copy.rows) {
      listed.add(row.key);
      this.#applyRow(row.key, row);
    }
    for (const key of [...this.#rows.keys()]) {
      if (!listed.has(key)) {
        this.#applyRow(key, undefined);
      }
    }
    this.#version = copy.version;
    this.#updateDigest();
  }

  #applyRow(key: string, row: FeedRow | undefined): void {
    const known = this.#rows.get(key);
    if (row === undefined) {
      if (this.#rows.delete(key)) {
        this.changes.emit({ key, value: undefined });
      }
      return;
    }
    if (known !== undefined && known.version >= row.version) {
      return;
    }
    this.#rows.set(key, row);
    this.changes.emit({ key, value: row.value });
  }

  #updateDigest(): void {
    const hash = createHash("sha256");
    for (const key of [...this.#rows.keys()].sort()) {
      hash.update(`${key}\n${this.#rows.get(key)?.version}\n`);
    }
    this.#digest = hash.digest("hex").slice(0, DIGEST_CHARACTERS);
  }

  #noteAnswer(): void {
    this.#failures = 0;
    if (this.#connected) {
      return;
    }
    this.#connected = true;
    this.#options.logger.info("the store answers again", {
      table: this.#options.table,
    });
    this.contactChanges.emit({ connected: true });
  }

  #noteFailure(reason: string, signal: AbortSignal): void {
    if (signal.aborted) {
      return;
    }
    this.#failures++;
    this.#hurried = true;
    if (!this.#connected) {
      return;
    }
    this.#connected = false;
    this.#options.logger.warn("the store does not answer", {
      table: this.#options.table,
      version: this.#version,
      reason,
    });
    this.contactChanges.emit({ connected: false });
  }

  #computePause(): number {
    return Math.min(
      LONGEST_PAUSE_MILLISECONDS,
      FIRST_PAUSE_MILLISECONDS * 2 ** Math.min(this.#failures, 10),
    );
  }
}

/** Rows that collectors write, so that many VMs share a transaction. */

import { type Clock, Deferred } from "@rattanvane/base";
import {
  addAbortListener,
  PlatformError,
  PlatformErrorKind,
  WriteConditionKind,
  type WrittenRow,
} from "@rattanvane/platform";
import {
  MessageKind,
  type MessageSender,
  type RowMessage,
  RowOutcome,
  type RowResultMessage,
  type VmId,
  type WriteRowMessage,
} from "@rattanvane/protocol";
import { err, ok, type Result } from "neverthrow";
import { type ConditionalWrite, RowWriter } from "./row_writer.ts";

/** Settings of a writer that uses collectors. */
export interface CollectedRowWriterOptions {
  self: VmId;
  /** Names this process, so that its correlations are its own. */
  process: string;
  sender: MessageSender;
  clock: Clock;
  /** Writes the rows for which this VM is the collector. */
  local: RowWriter;
  /** The VM that writes a row now; see `pickCollector`. */
  findCollector: (key: string) => VmId;
  /** After which time a row's outcome counts as unknown. */
  timeoutMilliseconds: number;
}

/** Passes rows to their collectors, and writes the rows of other VMs. */
export class CollectedRowWriter extends RowWriter {
  readonly #options: CollectedRowWriterOptions;
  readonly #signal: AbortSignal;
  readonly #waiting = new Map<string, Deferred<RowResultMessage>>();
  #correlations = 0;

  constructor(options: CollectedRowWriterOptions, signal: AbortSignal) {
    super();
    this.#options = options;
    this.#signal = signal;
  }

  /**
   * Writes a row by way of its collector. A row is passed on once: whether a
   * silent collector has written it is found out by reading the row.
   */
  override async write(
    write: ConditionalWrite,
    signal: AbortSignal,
  ): Promise<Result<WrittenRow, PlatformError>> {
    const { self, local, findCollector, sender } = this.#options;
    const collector = findCollector(write.key);
    if (collector === self) {
      return await local.write(write, signal);
    }
    this.#correlations++;
    const correlation = `${this.#options.process}-${this.#correlations}`;
    const answer = new Deferred<RowResultMessage>();
    this.#waiting.set(correlation, answer);
    sender.send(collector, createMessage(write, correlation));
    const result = await this.#waitFor(answer.promise, signal);
    this.#waiting.delete(correlation);
    return convertResult(result, { key: write.key, collector });
  }

  /** Handles a message of another VM. */
  handle(message: RowMessage, from: VmId): void {
    if (message.kind === MessageKind.RowResult) {
      this.#waiting.get(message.correlation)?.resolve(message);
      return;
    }
    void this.#writeFor(from, message);
  }

  /** Undefined when no result comes in time. */
  async #waitFor(
    answer: Promise<RowResultMessage>,
    signal: AbortSignal,
  ): Promise<RowResultMessage | undefined> {
    const { clock, timeoutMilliseconds } = this.#options;
    const finished = new AbortController();
    const removeListener = addAbortListener(signal, () => finished.abort());
    try {
      return await Promise.race([
        answer,
        clock.sleep(timeoutMilliseconds, finished.signal),
      ]) ?? undefined;
    } finally {
      removeListener();
      finished.abort();
    }
  }

  /** Never passes the row on again, also if it is not the collector. */
  async #writeFor(from: VmId, message: WriteRowMessage): Promise<void> {
    const { local, sender } = this.#options;
    const written = await local.write(createWrite(message), this.#signal);
    sender.send(from, {
      kind: MessageKind.RowResult,
      correlation: message.correlation,
      outcome: written.isOk()
        ? RowOutcome.Written
        : convertErrorKind(written.error.kind),
      version: written.isOk() ? written.value.version : 0,
    });
  }
}

function createMessage(
  write: ConditionalWrite,
  correlation: string,
): WriteRowMessage {
  const { key, condition, value } = write;
  const version = condition.kind === WriteConditionKind.Absent
    ? 0
    : condition.version;
  const kind = MessageKind.WriteRow;
  return value === undefined
    ? { kind, correlation, key, version }
    : { kind, correlation, key, version, value };
}

function createWrite(message: WriteRowMessage): ConditionalWrite {
  const { key, version, value } = message;
  const condition = version === 0
    ? { kind: WriteConditionKind.Absent } as const
    : { kind: WriteConditionKind.AtVersion, version } as const;
  return { key, condition, value };
}

function convertErrorKind(kind: PlatformErrorKind): RowOutcome {
  switch (kind) {
    case PlatformErrorKind.Conflict:
      return RowOutcome.Conflict;
    case PlatformErrorKind.Unavailable:
    case PlatformErrorKind.RateLimited:
      return RowOutcome.NotWritten;
    default:
      return RowOutcome.Unknown;
  }
}

function convertResult(
  message: RowResultMessage | undefined,
  row: { key: string; collector: VmId },
): Result<WrittenRow, PlatformError> {
  const { key, collector } = row;
  switch (message?.outcome) {
    case RowOutcome.Written:
      return ok({ key, version: message.version });
    case RowOutcome.Conflict:
      return err(
        new PlatformError(
          PlatformErrorKind.Conflict,
          `The condition of row "${key}" did not hold`,
          { conflicts: [key] },
        ),
      );
    case RowOutcome.NotWritten:
      return err(
        new PlatformError(
          PlatformErrorKind.Unavailable,
          `The VM "${collector}" could not write row "${key}"`,
        ),
      );
    default:
      return err(
        new PlatformError(
          PlatformErrorKind.OutcomeUnknown,
          `The VM "${collector}" does not say whether it wrote row "${key}"`,
        ),
      );
  }
}

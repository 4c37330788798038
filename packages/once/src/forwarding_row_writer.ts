/** Writes rows through collectors, so that many VMs share a transaction. */

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

/** Dependencies and settings of a {@link ForwardingRowWriter}. */
export interface ForwardingRowWriterOptions {
  self: VmId;
  /** Identifies this process; makes its correlation ids unique in the fleet. */
  correlationPrefix: string;
  sender: MessageSender;
  clock: Clock;
  /** Writes the rows of which this VM is the collector. */
  local: RowWriter;
  /** Returns the current collector of a row; see `pickCollector`. */
  findCollector: (key: string) => VmId;
  /** The time after which an unanswered write has an unknown outcome. */
  timeoutMilliseconds: number;
}

/** Forwards writes to the rows' collectors, and writes rows for other VMs. */
export class ForwardingRowWriter extends RowWriter {
  readonly #options: ForwardingRowWriterOptions;
  readonly #signal: AbortSignal;
  readonly #pending = new Map<string, Deferred<RowResultMessage>>();
  #correlationCount = 0;

  constructor(options: ForwardingRowWriterOptions, signal: AbortSignal) {
    super();
    this.#options = options;
    this.#signal = signal;
  }

  /**
   * Writes a row through its collector. The write is sent only once: when the
   * collector does not answer, the outcome is unknown, and the caller has to
   * read the row to find out whether it was written.
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
    this.#correlationCount++;
    const correlation =
      `${this.#options.correlationPrefix}-${this.#correlationCount}`;
    const reply = new Deferred<RowResultMessage>();
    this.#pending.set(correlation, reply);
    sender.send(collector, convertToMessage(write, correlation));
    const result = await this.#waitForResult(reply.promise, signal);
    this.#pending.delete(correlation);
    return convertResult(result, { key: write.key, collector });
  }

  /** Handles a message from another VM. */
  handle(message: RowMessage, from: VmId): void {
    if (message.kind === MessageKind.RowResult) {
      this.#pending.get(message.correlation)?.resolve(message);
      return;
    }
    void this.#writeForPeer(from, message);
  }

  /** Resolves with undefined on time-out or abort. */
  async #waitForResult(
    reply: Promise<RowResultMessage>,
    signal: AbortSignal,
  ): Promise<RowResultMessage | undefined> {
    const { clock, timeoutMilliseconds } = this.#options;
    const finished = new AbortController();
    const removeListener = addAbortListener(signal, () => finished.abort());
    try {
      return await Promise.race([
        reply,
        clock.sleep(timeoutMilliseconds, finished.signal),
      ]) ?? undefined;
    } finally {
      removeListener();
      finished.abort();
    }
  }

  /** Writes the row from here, even when this VM is not its collector. */
  async #writeForPeer(from: VmId, message: WriteRowMessage): Promise<void> {
    const { local, sender } = this.#options;
    const written = await local.write(
      convertFromMessage(message),
      this.#signal,
    );
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

function convertToMessage(
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

function convertFromMessage(message: WriteRowMessage): ConditionalWrite {
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
          `The VM "${collector}" did not report whether it wrote row "${key}"`,
        ),
      );
  }
}

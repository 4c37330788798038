/** Forwards calls to the VM that may run their key, and handles such calls. */

import { type Clock, Deferred } from "@rattanvane/base";
import {
  type KeyMessage,
  type KeyResultMessage,
  MessageKind,
  type MessageSender,
  type RunKeyMessage,
  type VmId,
} from "@rattanvane/protocol";
import { ok } from "neverthrow";
import {
  createUnknown,
  type KeyedCall,
  type KeyedCallResult,
} from "./execution.ts";

import { convertFromMessage, convertToMessage } from "./key_result.ts";

/** Forwards a call to another VM. */
export abstract class CallForwarder {
  /** Resolves with the VM's result, or with an unknown outcome. */
  abstract forward(
    call: KeyedCall,
    target: VmId,
    signal: AbortSignal,
  ): Promise<KeyedCallResult>;
}

/** Runs a call that another VM has forwarded. */
export type RunForwarded = (
  call: KeyedCall,
  signal: AbortSignal,
) => Promise<KeyedCallResult>;

/** Dependencies and settings of a {@link KeyForwarder}. */
export interface KeyForwarderOptions {
  /** Identifies this process; makes its correlation ids unique in the fleet. */
  correlationPrefix: string;
  sender: MessageSender;
  clock: Clock;
  /** False for a VM that is known to be dead; true when its state is unknown. */
  isLive: (vm: VmId) => boolean;
  /** False for a VM to which no connection can currently be made. */
  isReachable: (vm: VmId) => boolean;
  runForwarded: RunForwarded;
  /** The time after which a forwarded call has an unknown outcome. */
  timeoutMilliseconds: number;
  /** The delay before the call is first sent again; doubles with each retry. */
  resendMilliseconds: number;
}

/** Forwards calls over the control connections, which may lose messages. */
export class KeyForwarder extends CallForwarder {
  readonly #options: KeyForwarderOptions;
  readonly #signal: AbortSignal;
  readonly #pending = new Map<string, Deferred<KeyResultMessage>>();
  /** Forwarded calls that run here; a call that is sent again is not run twice. */
  readonly #running = new Set<string>();
  #correlationCount = 0;

  constructor(options: KeyForwarderOptions, signal: AbortSignal) {
    super();
    this.#options = options;
    this.#signal = signal;
  }

  /**
   * Sends the call until its result arrives, the target is dead or unreachable,
   * or the time-out passes. Sending again is idempotent: the target joins or
   * replays the call of the key.
   */
  override async forward(
    call: KeyedCall,
    target: VmId,
    signal: AbortSignal,
  ): Promise<KeyedCallResult> {
    this.#correlationCount++;
    const correlation =
      `${this.#options.correlationPrefix}-${this.#correlationCount}`;
    const reply = new Deferred<KeyResultMessage>();
    this.#pending.set(correlation, reply);
    const finished = new AbortController();
    try {
      const message = createRunMessage(call, correlation);
      const result = await Promise.race([
        reply.promise,
        this.#sendUntilAbandoned(message, target, {
          caller: signal,
          finished: finished.signal,
        }),
      ]);
      return typeof result === "string"
        ? ok({ execution: createUnknown(result), replayed: false })
        : convertFromMessage(result, call.key);
    } finally {
      this.#pending.delete(correlation);
      finished.abort();
    }
  }

  /** Handles a message from another VM. */
  handle(message: KeyMessage, from: VmId): void {
    if (message.kind === MessageKind.KeyResult) {
      this.#pending.get(message.correlation)?.resolve(message);
      return;
    }
    void this.#runForPeer(message, from);
  }

  /** Resolves with the reason why no result is expected any more. */
  async #sendUntilAbandoned(
    message: RunKeyMessage,
    target: VmId,
    signals: { caller: AbortSignal; finished: AbortSignal },
  ): Promise<string> {
    const { clock, sender, isLive, isReachable, resendMilliseconds } =
      this.#options;
    const endsAt = clock.now() + this.#options.timeoutMilliseconds;
    let delay = resendMilliseconds;
    while (clock.now() < endsAt) {
      if (!isLive(target)) {
        return `the VM "${target}", the only one that may run this key, is dead`;
      }
      if (signals.caller.aborted || this.#signal.aborted) {
        return "waiting for the result from another VM was cancelled";
      }
      sender.send(target, message);
      await clock.sleep(
        Math.min(delay, endsAt - clock.now()),
        signals.finished,
      );
      delay *= 2;
      if (signals.finished.aborted) {
        break;
      }
      // Checked only after sending, since a connection is opened on first use.
      if (!isReachable(target)) {
        return `the VM "${target}", the only one that may run this key, is unreachable`;
      }
    }
    return `the VM "${target}", the only one that may run this key, did not answer`;
  }

  async #runForPeer(message: RunKeyMessage, from: VmId): Promise<void> {
    const id = `${from} ${message.correlation}`;
    if (this.#running.has(id)) {
      return;
    }
    this.#running.add(id);
    try {
      const call = createForwardedCall(message);
      const result = await this.#options.runForwarded(call, this.#signal);
      const { correlation } = message;
      this.#options.sender.send(from, convertToMessage(result, correlation));
    } finally {
      this.#running.delete(id);
    }
  }
}

function createRunMessage(call: KeyedCall, correlation: string): RunKeyMessage {
  const { key, organisation, service, method, path, headers, body } = call;
  return {
    kind: MessageKind.RunKey,
    correlation,
    key,
    organisation,
    service,
    method,
    path,
    headers,
    body,
  };
}

function createForwardedCall(message: RunKeyMessage): KeyedCall {
  const { key, organisation, service, method, path, headers, body } = message;
  return {
    key,
    organisation,
    service,
    method,
    path,
    headers,
    body,
    forwarded: true,
  };
}

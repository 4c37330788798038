/** Passes calls to the VM that may run their key, and answers such calls. */

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

/** Passes a call to another VM. */
export abstract class CallForwarder {
  /** Resolves with the VM's result, or with an unknown outcome. */
  abstract forward(
    call: KeyedCall,
    home: VmId,
    signal: AbortSignal,
  ): Promise<KeyedCallResult>;
}

/** Runs a call that another VM has passed on. */
export type RunForwarded = (
  call: KeyedCall,
  signal: AbortSignal,
) => Promise<KeyedCallResult>;

/** Settings of a forwarder. */
export interface KeyForwarderOptions {
  /** Names this process, so that its correlations are its own. */
  process: string;
  sender: MessageSender;
  clock: Clock;
  /** False for a VM that is known to be dead; true when in doubt. */
  isLive: (vm: VmId) => boolean;
  /** False while the link to a VM is lost; asked only after a try. */
  isReachable?: (vm: VmId) => boolean;
  runForwarded: RunForwarded;
  /** How long a forwarded call may take. */
  timeoutMilliseconds: number;
  /** After which time the call is first sent again; doubles each time. */
  resendMilliseconds: number;
}

/** Forwards over the control connections, which may lose messages. */
export class KeyForwarder extends CallForwarder {
  readonly #options: KeyForwarderOptions;
  readonly #signal: AbortSignal;
  readonly #waiting = new Map<string, Deferred<KeyResultMessage>>();
  /** Calls of other VMs that run here, so that a resent one is not doubled. */
  readonly #answering = new Set<string>();
  #correlations = 0;

  constructor(options: KeyForwarderOptions, signal: AbortSignal) {
    super();
    this.#options = options;
    this.#signal = signal;
  }

  /**
   * Sends the call until its result comes, its home is taken for dead, or time
   * is up. Sending again is safe: the home joins or replays the key's call.
   */
  override async forward(
    call: KeyedCall,
    home: VmId,
    signal: AbortSignal,
  ): Promise<KeyedCallResult> {
    this.#correlations++;
    const correlation = `${this.#options.process}-${this.#correlations}`;
    const answer = new Deferred<KeyResultMessage>();
    this.#waiting.set(correlation, answer);
    const finished = new AbortController();
    try {
      const message = createRunMessage(call, correlation);
      const result = await Promise.race([
        answer.promise,
        this.#sendUntilDone(message, home, {
          caller: signal,
          finished: finished.signal,
        }),
      ]);
      return typeof result === "string"
        ? ok({ execution: createUnknown(result), replayed: false })
        : convertFromMessage(result, call.key);
    } finally {
      this.#waiting.delete(correlation);
      finished.abort();
    }
  }

  /** Handles a message of another VM. */
  handle(message: KeyMessage, from: VmId): void {
    if (message.kind === MessageKind.KeyResult) {
      this.#waiting.get(message.correlation)?.resolve(message);
      return;
    }
    void this.#answer(message, from);
  }

  /** Resolves with why no result is to be expected any more. */
  async #sendUntilDone(
    message: RunKeyMessage,
    home: VmId,
    signals: { caller: AbortSignal; finished: AbortSignal },
  ): Promise<string> {
    const { clock, sender, isLive, isReachable, resendMilliseconds } =
      this.#options;
    const endsAt = clock.now() + this.#options.timeoutMilliseconds;
    let pause = resendMilliseconds;
    while (clock.now() < endsAt) {
      if (!isLive(home)) {
        return describeGone(home);
      }
      if (signals.caller.aborted || this.#signal.aborted) {
        return "the call was given up while another VM had it";
      }
      sender.send(home, message);
      await clock.sleep(
        Math.min(pause, endsAt - clock.now()),
        signals.finished,
      );
      pause *= 2;
      if (signals.finished.aborted) {
        break;
      }
      // The link may have been lost only until this try.
      if (isReachable?.(home) === false) {
        return describeGone(home);
      }
    }
    return `the VM "${home}", which alone may run this key, did not answer`;
  }

  async #answer(message: RunKeyMessage, from: VmId): Promise<void> {
    const id = `${from} ${message.correlation}`;
    if (this.#answering.has(id)) {
      return;
    }
    this.#answering.add(id);
    try {
      const call = createForwardedCall(message);
      const result = await this.#options.runForwarded(call, this.#signal);
      const { correlation } = message;
      this.#options.sender.send(from, convertToMessage(result, correlation));
    } finally {
      this.#answering.delete(id);
    }
  }
}

function describeGone(home: VmId): string {
  return `the VM "${home}", which alone may run this key, is gone`;
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

/** Runs calls with issued keys, whose state is in the memory of the issuer. */

import type { Clock } from "@rattanvane/base";
import type { VmId } from "@rattanvane/protocol";
import { err, ok } from "neverthrow";
import type { CallRegistry } from "./call_registry.ts";
import {
  createUnknown,
  type Execute,
  ExecutionKind,
  type KeyedCall,
  type KeyedCallResult,
  runExecution,
} from "./execution.ts";
import { hashCall } from "./fingerprint.ts";
import { type IssuedKeys, parseIssuedKey } from "./issued_keys.ts";
import { KeyError, KeyErrorKind } from "./key_error.ts";
import type { CallForwarder } from "./key_forwarder.ts";

/** Dependencies of {@link IssuedKeyCalls}. */
export interface IssuedKeyCallsOptions {
  vm: VmId;
  keys: IssuedKeys;
  registry: CallRegistry;
  forwarder: CallForwarder;
  clock: Clock;
}

/** Runs calls with keys of this process, and forwards others to the issuing VM. */
export class IssuedKeyCalls {
  readonly #options: IssuedKeyCallsOptions;
  readonly #signal: AbortSignal;

  constructor(options: IssuedKeyCallsOptions, signal: AbortSignal) {
    this.#options = options;
    this.#signal = signal;
  }

  /** Runs, joins or replays the call, here or on the VM that issued its key. */
  async run(call: KeyedCall, execute: Execute): Promise<KeyedCallResult> {
    const { keys, vm, forwarder } = this.#options;
    const parsed = parseIssuedKey(call.key);
    if (parsed.isErr()) {
      return err(parsed.error);
    }
    if (keys.isOwn(parsed.value)) {
      const expiry = keys.computeExpiry(parsed.value);
      return await this.#runLocally(call, { execute, expiry });
    }
    const issuer = parsed.value.vm;
    if (issuer !== vm && !call.forwarded) {
      return await forwarder.forward(call, issuer, this.#signal);
    }
    const reason = "the process that issued this key has restarted";
    return ok({ execution: createUnknown(reason), replayed: false });
  }

  async #runLocally(
    call: KeyedCall,
    options: { execute: Execute; expiry: number },
  ): Promise<KeyedCallResult> {
    const { keys, registry, clock } = this.#options;
    const { execute, expiry } = options;
    if (!keys.isGenuine(call.key, call.organisation)) {
      return err(new KeyError(KeyErrorKind.NotIssued, call.key));
    }
    const id = `issued ${call.key}`;
    // The registry retains a call until its key has expired. A call that is not
    // registered by then was never started, and is not started any more.
    if (clock.now() >= expiry && !registry.has(id)) {
      return err(new KeyError(KeyErrorKind.Expired, call.key));
    }
    return await registry.run({
      id,
      key: call.key,
      fingerprint: hashCall(call),
      retainUntil: expiry,
      start: async () => {
        const execution = await runExecution(execute, this.#signal);
        const final = execution.kind !== ExecutionKind.NotRun;
        return { result: ok({ execution, replayed: false }), final };
      },
    });
  }
}

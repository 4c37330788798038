/** Distributes configuration changes between VMs. */

import {
  type Clock,
  Deferred,
  type Logger,
  type RandomSource,
  runWithDeadline,
} from "@rattanvane/base";
import {
  type ChangesMessage,
  type ConfigurationMessage,
  MessageKind,
  type MessageSender,
  type SnapshotPosition,
  type VmId,
} from "@rattanvane/protocol";
import { ChangeServer } from "./change_server.ts";
import type { ConfigurationError } from "./configuration_error.ts";
import type { ConfigurationStore } from "./configuration_store.ts";
import { decodeCompressedSnapshot } from "./snapshot_archive.ts";
import { SnapshotAssembler } from "./snapshot_parts.ts";

/** The number of peers to which a VM announces a new version. */
const ANNOUNCEMENT_FANOUT = 4;
const ANSWER_TIMEOUT_MILLISECONDS = 1_000;
/** The delay between a failed pull and the next one from another peer. */
const RETRY_DELAY_MILLISECONDS = 200;

/** Dependencies of a configuration peer. */
export interface ConfigurationPeerOptions {
  store: ConfigurationStore;
  sender: MessageSender;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  /** Lists the other VMs to which new versions may be announced. */
  listPeers: () => VmId[];
}

interface PendingAnswer {
  request: number;
  answer: Deferred<ChangesMessage | undefined>;
}

/**
 * Announces each new version to some peers, and pulls missing changes from a
 * peer that has them. A single task runs one pull at a time.
 */
export class ConfigurationPeer {
  readonly #options: ConfigurationPeerOptions;
  readonly #server: ChangeServer;
  /** Peers that announced a higher version than the current one. */
  readonly #holders = new Map<VmId, number>();
  #pullRequired = new Deferred<void>();
  #pending: PendingAnswer | undefined;
  #lastRequest = 0;
  #reportedVersion: number | undefined;

  constructor(options: ConfigurationPeerOptions) {
    this.#options = options;
    this.#server = new ChangeServer(options.store);
  }

  /** Records the version of a VM; schedules a pull if it is higher. */
  receiveVersion(vm: VmId, version: number): void {
    const { store } = this.#options;
    if (version <= store.current.version) {
      return;
    }
    store.receiveVersion(version);
    this.#holders.set(vm, version);
    this.#pullRequired.resolve();
  }

  /** Handles a message from another VM. */
  handle(from: VmId, message: ConfigurationMessage): void {
    switch (message.kind) {
      case MessageKind.AnnounceVersion:
        this.receiveVersion(from, message.version);
        break;
      case MessageKind.RequestChanges:
        this.#server.buildAnswer(message)
          .then((answer) => this.#options.sender.send(from, answer));
        break;
      case MessageKind.Changes:
        if (message.request === this.#pending?.request) {
          this.#pending.answer.resolve(message);
        }
        break;
    }
  }

  /** Announces and pulls versions until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, store } = this.#options;
    store.changed.listen(({ version }) => this.#announce(version), signal);
    signal.addEventListener("abort", () => this.#stopWaiting(), { once: true });
    while (!signal.aborted) {
      const holder = this.#pickHolder();
      if (holder === undefined) {
        await this.#pullRequired.promise;
        this.#pullRequired = new Deferred();
        continue;
      }
      if (!await this.#pull(holder, signal)) {
        this.#holders.delete(holder);
        await clock.sleep(RETRY_DELAY_MILLISECONDS, signal);
      }
    }
  }

  #stopWaiting(): void {
    this.#pullRequired.resolve();
    this.#pending?.answer.resolve(undefined);
  }

  #announce(version: number): void {
    const { listPeers, random, sender } = this.#options;
    const targets = random.shuffle(listPeers()).slice(0, ANNOUNCEMENT_FANOUT);
    for (const vm of targets) {
      sender.send(vm, { kind: MessageKind.AnnounceVersion, version });
    }
  }

  /** Picks a random peer among those with the highest version. */
  #pickHolder(): VmId | undefined {
    const { random, store } = this.#options;
    let highest = store.current.version;
    let best: VmId[] = [];
    for (const [vm, version] of this.#holders) {
      if (version <= store.current.version) {
        this.#holders.delete(vm);
      } else if (version > highest) {
        highest = version;
        best = [vm];
      } else if (version === highest) {
        best.push(vm);
      }
    }
    return random.pick(best);
  }

  /** Pulls up to a peer's version; returns false if there is no progress. */
  async #pull(vm: VmId, signal: AbortSignal): Promise<boolean> {
    const { store } = this.#options;
    const target = this.#holders.get(vm) ?? 0;
    while (store.current.version < target && !signal.aborted) {
      const before = store.current.version;
      const answer = await this.#sendRequest(vm, { signal });
      if (answer === undefined) {
        return false;
      }
      await this.#receive(vm, { answer, signal });
      if (store.current.version <= before) {
        return false;
      }
    }
    return true;
  }

  async #receive(
    vm: VmId,
    step: { answer: ChangesMessage; signal: AbortSignal },
  ): Promise<void> {
    const { logger, store } = this.#options;
    if (step.answer.snapshot !== undefined) {
      await this.#receiveSnapshot(vm, step);
      return;
    }
    const result = store.receive(step.answer.changes);
    if (result.isErr()) {
      this.#reportUnreadable(result.error);
      return;
    }
    const { version } = result.value;
    logger.info("received changes from a peer", { vm, version });
  }

  async #receiveSnapshot(
    vm: VmId,
    step: { answer: ChangesMessage; signal: AbortSignal },
  ): Promise<void> {
    const { logger, store } = this.#options;
    const parts = new SnapshotAssembler();
    let answer: ChangesMessage | undefined = step.answer;
    for (;;) {
      if (answer?.snapshot === undefined || !parts.add(answer.snapshot)) {
        logger.warn("a peer sent no whole snapshot", { vm });
        return;
      }
      if (parts.isComplete) {
        break;
      }
      const { position } = parts;
      answer = await this.#sendRequest(vm, {
        snapshot: position,
        signal: step.signal,
      });
    }
    const snapshot = await decodeCompressedSnapshot(parts.build());
    if (snapshot.isErr()) {
      this.#reportUnreadable(snapshot.error);
      return;
    }
    if (store.receiveSnapshot(snapshot.value)) {
      const { version } = snapshot.value;
      logger.info("received a snapshot from a peer", { vm, version });
    }
  }

  /** Logs an error once per version that this VM cannot advance from. */
  #reportUnreadable(error: ConfigurationError): void {
    const { logger, store } = this.#options;
    const { version } = store.current;
    if (this.#reportedVersion !== version) {
      this.#reportedVersion = version;
      logger.error(`stays at an old version: ${error.message}`, { version });
    }
  }

  /** Sends a request; resolves to undefined after the time-out. */
  async #sendRequest(
    vm: VmId,
    step: { snapshot?: SnapshotPosition; signal: AbortSignal },
  ): Promise<ChangesMessage | undefined> {
    const { clock, sender, store } = this.#options;
    const request = ++this.#lastRequest;
    const answer = new Deferred<ChangesMessage | undefined>();
    this.#pending = { request, answer };
    sender.send(vm, {
      kind: MessageKind.RequestChanges,
      request,
      afterVersion: store.current.version,
      ...(step.snapshot === undefined ? {} : { snapshot: step.snapshot }),
    });
    return await runWithDeadline(() => answer.promise, {
      clock,
      milliseconds: ANSWER_TIMEOUT_MILLISECONDS,
      expire: () => answer.resolve(undefined),
    }, step.signal);
  }
}

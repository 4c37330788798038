/** Tells the other VMs what this one runs and knows, and listens to them. */

import { ChildAbort, type Clock, type Logger } from "@rattanvane/base";
import type { SuspectRegistry } from "@rattanvane/limits";
import {
  type EndpointUse,
  type ForwardingMessage,
  type ForwardingStateMessage,
  MessageKind,
  type MessageSender,
  type TableCopyMessage,
  type VmId,
} from "@rattanvane/protocol";
import type { ClockReading } from "../beliefs/freshness.ts";
import type { TableReplica } from "../beliefs/table_replica.ts";
import type { ServiceScheduler } from "../scheduling/service_scheduler.ts";
import type { ShareMeter } from "../scheduling/share_meter.ts";

const PERIOD_MILLISECONDS = 100;
/** Between two messages, however much there is to tell. */
const LEAST_PAUSE_MILLISECONDS = 20;
/** With more peers, the pauses grow in proportion. */
const PEERS_AT_FULL_PACE = 8;
/** How many of the own messages' times are remembered. */
const REMEMBERED_QUESTIONS = 128;
const LIVE_MILLISECONDS = 1_500;
const REQUEST_AGAIN_MILLISECONDS = 300;

interface KnownPeer {
  heardAt: number;
  lastSequence: number;
}

/** What the exchange works with. */
export interface PeerExchangeOptions {
  sender: MessageSender;
  clock: Clock;
  logger: Logger;
  suspects: SuspectRegistry;
  shares: ShareMeter;
  configuration: TableReplica;
  endpoints: TableReplica;
  listPeers: () => Iterable<VmId>;
  listSchedulers: () => Iterable<ServiceScheduler>;
}

/** Exchanges soft state with every peer at a steady pace. */
export class PeerExchange {
  readonly #options: PeerExchangeOptions;
  readonly #peers = new Map<VmId, KnownPeer>();
  readonly #questions = new Map<number, ClockReading>();
  #sequence = 0;
  readonly #requestedAt = new Map<string, number>();
  #pause: ChildAbort | undefined;

  constructor(options: PeerExchangeOptions) {
    this.#options = options;
  }

  /** How many peers were heard of lately. */
  countLive(): number {
    const oldest = this.#options.clock.now() - LIVE_MILLISECONDS;
    let live = 0;
    for (const { heardAt } of this.#peers.values()) {
      live += heardAt >= oldest ? 1 : 0;
    }
    return live;
  }

  /** Sends soon instead of at the end of the period. */
  hurry(): void {
    this.#pause?.abort();
  }

  /** Sends until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, listPeers } = this.#options;
    while (!signal.aborted) {
      const peers = [...listPeers()];
      this.#sendAll(peers);
      const scale = Math.max(1, peers.length / PEERS_AT_FULL_PACE);
      await clock.sleep(LEAST_PAUSE_MILLISECONDS * scale, signal);
      this.#pause = new ChildAbort(signal);
      const pause = PERIOD_MILLISECONDS - LEAST_PAUSE_MILLISECONDS;
      await clock.sleep(pause * scale, this.#pause.signal);
      this.#pause.abort();
      this.#pause = undefined;
    }
  }

  /** Takes a peer's message. */
  handle(from: VmId, message: ForwardingMessage): void {
    switch (message.kind) {
      case MessageKind.ForwardingState:
        return this.#merge(from, message);
      case MessageKind.RequestTable:
        return this.#sendTable(from, message.table);
      case MessageKind.TableCopy:
        return this.#mergeTable(from, message);
    }
  }

  #sendAll(peers: readonly VmId[]): void {
    const { sender, configuration } = this.#options;
    this.#sequence++;
    const question = configuration.freshness.readClocks();
    this.#questions.set(this.#sequence, question);
    this.#questions.delete(this.#sequence - REMEMBERED_QUESTIONS);
    const state = this.#describeState();
    for (const vm of peers) {
      const echo = this.#peers.get(vm)?.lastSequence ?? 0;
      sender.send(vm, { ...state, echo });
    }
  }

  #describeState(): ForwardingStateMessage {
    const { shares, suspects, configuration } = this.#options;
    const endpoints: EndpointUse[] = [];
    for (const scheduler of this.#options.listSchedulers()) {
      for (const endpoint of scheduler.listEndpoints()) {
        const use = endpoint.describeUse();
        if (use !== undefined) {
          endpoints.push(use);
        }
      }
    }
    const age = configuration.freshness.computeAge();
    const isKnown = configuration.version >= 0 && Number.isFinite(age);
    return {
      kind: MessageKind.ForwardingState,
      sequence: this.#sequence,
      echo: 0,
      endpoints,
      organisations: shares.listLocal(),
      suspects: suspects.listSuspects(),
      ...(isKnown
        ? {
          configuration: {
            version: configuration.version,
            digest: configuration.digest,
            ageMilliseconds: Math.ceil(age),
          },
        }
        : {}),
    };
  }

  #merge(from: VmId, message: ForwardingStateMessage): void {
    const { clock, shares, suspects } = this.#options;
    this.#peers.set(from, {
      heardAt: clock.now(),
      lastSequence: message.sequence,
    });
    const uses = new Map(message.endpoints.map((use) => [use.endpoint, use]));
    for (const scheduler of this.#options.listSchedulers()) {
      scheduler.mergePeer(from, uses);
    }
    shares.mergePeer(from, message.organisations);
    if (message.suspects.length > 0) {
      suspects.merge(message.suspects);
    }
    this.#mergeConfiguration(from, message);
    if (!this.#options.endpoints.connected) {
      this.#requestTable(from, this.#options.endpoints);
    }
  }

  #mergeTable(from: VmId, copy: TableCopyMessage): void {
    const follower = this.#findTable(copy.table);
    if (follower === undefined || copy.version <= follower.version) {
      return;
    }
    this.#options.logger.info("took a peer's copy of a table", {
      from,
      table: copy.table,
      version: copy.version,
      former: follower.version,
    });
    follower.mergeCopy(copy);
  }

  #findTable(table: string): TableReplica | undefined {
    const { configuration, endpoints } = this.#options;
    return [configuration, endpoints].find((one) => one.table === table);
  }

  /**
   * A peer's statement was made after it had this VM's message, so its proof
   * is no older than the peer says, counted from when that message was sent.
   */
  #mergeConfiguration(from: VmId, message: ForwardingStateMessage): void {
    const { configuration } = this.#options;
    const theirs = message.configuration;
    const asked = this.#questions.get(message.echo);
    if (theirs === undefined) {
      return;
    }
    const isSame = theirs.digest === configuration.digest;
    if (isSame || theirs.version <= configuration.version) {
      if (asked !== undefined && configuration.version >= 0) {
        configuration.freshness.confirm(asked, theirs.ageMilliseconds);
      }
      return;
    }
    if (!configuration.connected || configuration.version < 0) {
      this.#requestTable(from, configuration);
    }
  }

  #requestTable(from: VmId, { table }: TableReplica): void {
    const { clock, sender } = this.#options;
    const now = clock.now();
    const requestedAt = this.#requestedAt.get(table) ?? -Infinity;
    if (now - requestedAt >= REQUEST_AGAIN_MILLISECONDS) {
      this.#requestedAt.set(table, now);
      sender.send(from, { kind: MessageKind.RequestTable, table });
    }
  }

  #sendTable(to: VmId, table: string): void {
    const follower = this.#findTable(table);
    if (follower === undefined || follower.version < 0) {
      return;
    }
    this.#options.sender.send(to, {
      kind: MessageKind.TableCopy,
      table,
      version: follower.version,
      rows: follower.listRows().map(({ key, version, value }) => ({
        key,
        version,
        value,
      })),
    });
  }
}

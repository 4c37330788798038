/** Exchange of soft state between the VMs of the fleet. */

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
import type { ClockReading } from "../state/freshness.ts";
import type { TableReplica } from "../state/table_replica.ts";
import type { ServiceScheduler } from "../scheduling/service_scheduler.ts";
import type { ShareMeter } from "../scheduling/share_meter.ts";

const EXCHANGE_PERIOD_MILLISECONDS = 100;
/** Minimum time between two messages, however often sends are requested. */
const MIN_INTERVAL_MILLISECONDS = 20;
/** With more peers, the intervals grow in proportion. */
const PEERS_AT_FULL_RATE = 8;
/** How many send times of this VM's messages are kept, the newest ones. */
const SEND_TIMES_CAPACITY = 128;
/** A peer counts as live for this time after its last message. */
const LIVENESS_MILLISECONDS = 1_500;
/** Minimum time between two requests for a copy of the same table. */
const TABLE_REQUEST_INTERVAL_MILLISECONDS = 300;

interface PeerState {
  lastReceivedAt: number;
  lastSequence: number;
}

/** Dependencies of a {@link PeerExchange}. */
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

/** Exchanges soft state with every peer periodically. */
export class PeerExchange {
  readonly #options: PeerExchangeOptions;
  readonly #peers = new Map<VmId, PeerState>();
  readonly #sendTimes = new Map<number, ClockReading>();
  #sequence = 0;
  readonly #tableRequestedAt = new Map<string, number>();
  #intervalAbort: ChildAbort | undefined;

  constructor(options: PeerExchangeOptions) {
    this.#options = options;
  }

  /** Counts the peers that sent a message recently. */
  countLive(): number {
    const earliest = this.#options.clock.now() - LIVENESS_MILLISECONDS;
    let live = 0;
    for (const { lastReceivedAt } of this.#peers.values()) {
      live += lastReceivedAt >= earliest ? 1 : 0;
    }
    return live;
  }

  /** Sends after the minimum interval instead of at the end of the period. */
  sendSoon(): void {
    this.#intervalAbort?.abort();
  }

  /** Sends this VM's state until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, listPeers } = this.#options;
    while (!signal.aborted) {
      const peers = [...listPeers()];
      this.#sendAll(peers);
      const scale = Math.max(1, peers.length / PEERS_AT_FULL_RATE);
      await clock.sleep(MIN_INTERVAL_MILLISECONDS * scale, signal);
      this.#intervalAbort = new ChildAbort(signal);
      const remaining = EXCHANGE_PERIOD_MILLISECONDS -
        MIN_INTERVAL_MILLISECONDS;
      await clock.sleep(remaining * scale, this.#intervalAbort.signal);
      this.#intervalAbort.abort();
      this.#intervalAbort = undefined;
    }
  }

  /** Handles a message from a peer. */
  handle(from: VmId, message: ForwardingMessage): void {
    switch (message.kind) {
      case MessageKind.ForwardingState:
        return this.#mergeState(from, message);
      case MessageKind.RequestTable:
        return this.#sendTableCopy(from, message.table);
      case MessageKind.TableCopy:
        return this.#mergeTableCopy(from, message);
    }
  }

  #sendAll(peers: readonly VmId[]): void {
    const { sender, configuration } = this.#options;
    this.#sequence++;
    const sendTime = configuration.freshness.readClocks();
    this.#sendTimes.set(this.#sequence, sendTime);
    this.#sendTimes.delete(this.#sequence - SEND_TIMES_CAPACITY);
    const state = this.#buildState();
    for (const vm of peers) {
      const echo = this.#peers.get(vm)?.lastSequence ?? 0;
      sender.send(vm, { ...state, echo });
    }
  }

  #buildState(): ForwardingStateMessage {
    const { shares, suspects, configuration } = this.#options;
    const endpoints: EndpointUse[] = [];
    for (const scheduler of this.#options.listSchedulers()) {
      for (const endpoint of scheduler.listEndpoints()) {
        const use = endpoint.buildLocalUse();
        if (use !== undefined) {
          endpoints.push(use);
        }
      }
    }
    const age = configuration.freshness.computeAge();
    const hasConfiguration = configuration.version >= 0 && Number.isFinite(age);
    return {
      kind: MessageKind.ForwardingState,
      sequence: this.#sequence,
      echo: 0,
      endpoints,
      organisations: shares.listLocal(),
      suspects: suspects.listSuspects(),
      ...(hasConfiguration
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

  #mergeState(from: VmId, message: ForwardingStateMessage): void {
    const { clock, shares, suspects } = this.#options;
    this.#peers.set(from, {
      lastReceivedAt: clock.now(),
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

  #mergeTableCopy(from: VmId, copy: TableCopyMessage): void {
    const replica = this.#findReplica(copy.table);
    if (replica === undefined || copy.version <= replica.version) {
      return;
    }
    this.#options.logger.info("accepted a peer's copy of a table", {
      from,
      table: copy.table,
      version: copy.version,
      former: replica.version,
    });
    replica.mergeCopy(copy);
  }

  #findReplica(table: string): TableReplica | undefined {
    const { configuration, endpoints } = this.#options;
    return [configuration, endpoints].find((replica) =>
      replica.table === table
    );
  }

  /**
   * The peer reported its age after it had received the message that it echoes.
   * Counting the age from when that message was sent therefore never makes the
   * configuration seem newer than it is.
   */
  #mergeConfiguration(from: VmId, message: ForwardingStateMessage): void {
    const { configuration } = this.#options;
    const reported = message.configuration;
    const sendTime = this.#sendTimes.get(message.echo);
    if (reported === undefined) {
      return;
    }
    const isSame = reported.digest === configuration.digest;
    if (isSame || reported.version <= configuration.version) {
      if (sendTime !== undefined && configuration.version >= 0) {
        configuration.freshness.confirm(sendTime, reported.ageMilliseconds);
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
    const requestedAt = this.#tableRequestedAt.get(table) ?? -Infinity;
    if (now - requestedAt >= TABLE_REQUEST_INTERVAL_MILLISECONDS) {
      this.#tableRequestedAt.set(table, now);
      sender.send(from, { kind: MessageKind.RequestTable, table });
    }
  }

  #sendTableCopy(to: VmId, table: string): void {
    const replica = this.#findReplica(table);
    if (replica === undefined || replica.version < 0) {
      return;
    }
    this.#options.sender.send(to, {
      kind: MessageKind.TableCopy,
      table,
      version: replica.version,
      rows: replica.listRows().map(({ key, version, value }) => ({
        key,
        version,
        value,
      })),
    });
  }
}

/** Peer discovery and state exchange between the VMs of the fleet. */

import type { Clock, Logger, RandomSource } from "@rattanvane/base";
import type { SuspectRegistry } from "@rattanvane/limits";
import type { TableFeed } from "@rattanvane/platform";
import {
  type ForwardingMessage,
  type Message,
  MessageKind,
  PeerNetwork,
  type VmContact,
  type VmId,
} from "@rattanvane/protocol";
import type { TableReplica } from "../state/table_replica.ts";
import type { ForwardingSettings } from "../forwarding_settings.ts";
import type { ServiceScheduler } from "../scheduling/service_scheduler.ts";
import type { ShareMeter } from "../scheduling/share_meter.ts";
import { PeerExchange } from "./peer_exchange.ts";
import { VmRegistry } from "./vm_registry.ts";

/** Dependencies and settings of {@link FleetPeers}. */
export interface FleetPeersOptions {
  settings: ForwardingSettings;
  feed: TableFeed;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  suspects: SuspectRegistry;
  shares: ShareMeter;
  configuration: TableReplica;
  endpoints: TableReplica;
  listSchedulers: () => Iterable<ServiceScheduler>;
}

/** Discovers the other VMs and exchanges soft state with them. */
export class FleetPeers {
  readonly #options: FleetPeersOptions;
  readonly #contacts = new Set<VmId>();
  readonly #network: PeerNetwork;
  readonly #registry: VmRegistry;
  readonly #exchange: PeerExchange;

  constructor(options: FleetPeersOptions) {
    this.#options = options;
    const { settings, logger } = options;
    this.#network = new PeerNetwork({
      ...options,
      self: settings.self,
      listen: settings.control,
      fleetKeys: settings.fleetKeys,
      logger: logger.forPart("protocol"),
      receive: (from, message) => this.#receive(from, message),
    });
    this.#registry = new VmRegistry({
      ...options,
      self: settings.self,
      logger: logger.forPart("membership"),
      addContact: (contact) => this.#addContact(contact),
      removeContact: (vm) => this.#removeContact(vm),
    });
    this.#exchange = new PeerExchange({
      ...options,
      sender: this.#network,
      logger: logger.forPart("peers"),
      listPeers: () => this.#contacts,
    });
  }

  /** Listens for peers; throws when the port is in use. */
  async start(signal: AbortSignal): Promise<void> {
    this.updateSeeds(this.#options.settings.seeds);
    await this.#network.start(signal);
  }

  /** Exchanges state until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.#registry.run(signal), this.#exchange.run(signal)]);
  }

  /** Adds seed VMs to connect to. */
  updateSeeds(seeds: readonly VmContact[]): void {
    for (const seed of seeds) {
      if (seed.vm !== this.#options.settings.self.vm) {
        this.#addContact(seed);
      }
    }
  }

  /** Sends this VM's state to the peers before the period ends. */
  sendSoon(): void {
    this.#exchange.sendSoon();
  }

  /** Removes this VM from the VM list. */
  async leave(signal: AbortSignal): Promise<void> {
    await this.#registry.removeSelf(signal);
  }

  /** Counts the peers that sent a message recently. */
  countLive(): number {
    return this.#exchange.countLive();
  }

  /** Counts the VMs, this one included, that share the fleet's bounds. */
  countVms(): number {
    return Math.max(this.#contacts.size, this.#registry.listOthers().length) +
      1;
  }

  #addContact(contact: VmContact): void {
    this.#contacts.add(contact.vm);
    this.#network.registerContact(contact);
  }

  #removeContact(vm: VmId): void {
    this.#contacts.delete(vm);
    this.#network.removeContact(vm);
  }

  #receive(from: VmId, message: Message): void {
    const isForwardingMessage = message.kind === MessageKind.ForwardingState ||
      message.kind === MessageKind.RequestTable ||
      message.kind === MessageKind.TableCopy;
    if (isForwardingMessage) {
      this.#contacts.add(from);
      this.#exchange.handle(from, message as ForwardingMessage);
    }
  }
}

/** The other VMs: who they are, and what is told to them. */

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
import type { TableReplica } from "../beliefs/table_replica.ts";
import type { ForwardingSettings } from "../forwarding_settings.ts";
import type { ServiceScheduler } from "../scheduling/service_scheduler.ts";
import type { ShareMeter } from "../scheduling/share_meter.ts";
import { PeerExchange } from "./peer_exchange.ts";
import { VmRegistry } from "./vm_registry.ts";

/** What the peers are met with. */
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

/** Finds the other VMs and exchanges soft state with them. */
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
      learn: (contact) => this.#learn(contact),
      forget: (vm) => this.#forget(vm),
    });
    this.#exchange = new PeerExchange({
      ...options,
      sender: this.#network,
      logger: logger.forPart("peers"),
      listPeers: () => this.#contacts,
    });
  }

  /** Listens for peers; throws when the port is taken. */
  async start(signal: AbortSignal): Promise<void> {
    this.updateSeeds(this.#options.settings.seeds);
    await this.#network.start(signal);
  }

  /** Exchanges state until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.#registry.run(signal), this.#exchange.run(signal)]);
  }

  /** Looks for more VMs to speak to. */
  updateSeeds(seeds: readonly VmContact[]): void {
    for (const seed of seeds) {
      if (seed.vm !== this.#options.settings.self.vm) {
        this.#learn(seed);
      }
    }
  }

  /** Tells the peers soon what this VM runs. */
  hurry(): void {
    this.#exchange.hurry();
  }

  /** Takes this VM off the list of VMs. */
  async leave(signal: AbortSignal): Promise<void> {
    await this.#registry.removeSelf(signal);
  }

  /** How many peers were heard of lately. */
  countLive(): number {
    return this.#exchange.countLive();
  }

  /** Among how many VMs, this one included, the fleet's bounds are divided. */
  countVms(): number {
    return Math.max(this.#contacts.size, this.#registry.listOthers().length) +
      1;
  }

  #learn(contact: VmContact): void {
    this.#contacts.add(contact.vm);
    this.#network.learnContact(contact);
  }

  #forget(vm: VmId): void {
    this.#contacts.delete(vm);
    this.#network.forgetContact(vm);
  }

  #receive(from: VmId, message: Message): void {
    const isForwarding = message.kind === MessageKind.ForwardingState ||
      message.kind === MessageKind.RequestTable ||
      message.kind === MessageKind.TableCopy;
    if (isForwarding) {
      this.#contacts.add(from);
      this.#exchange.handle(from, message as ForwardingMessage);
    }
  }
}

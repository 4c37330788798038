/** A network in memory that loses, delays and cuts off messages. */

import type { Clock, RandomSource } from "@rattanvane/base";
import {
  type Message,
  MessageSender,
  type VmContact,
  type VmId,
} from "@rattanvane/protocol";

/** How the network treats messages. */
export interface MemoryNetworkOptions {
  clock: Clock;
  random: RandomSource;
  /** From sender to receiver. */
  latencyMilliseconds: number;
  /** The share of messages that vanish, from 0 to 1. */
  lossFraction: number;
  /** The size of a message in bytes; 0 for each when sizes do not matter. */
  measure: (message: Message) => number;
}

/** One VM as the network sees it. */
export interface NetworkMember {
  handle: (from: VmId, message: Message) => void;
  /** Resolves when the VM is able to handle a message. */
  ready: () => Promise<void>;
  /** How long the VM takes before it handles a message. */
  handlingMilliseconds: number;
}

/** What a VM has sent so far. */
export interface TrafficCount {
  messages: number;
  bytes: number;
}

/** Carries messages between VMs of one process. */
export class MemoryNetwork {
  readonly #options: MemoryNetworkOptions;
  readonly #members = new Map<VmId, NetworkMember>();
  readonly #sides = new Map<VmId, number>();
  readonly #traffic = new Map<VmId, TrafficCount>();

  constructor(options: MemoryNetworkOptions) {
    this.#options = options;
  }

  /** Connects a VM, in place of an earlier one with the same name. */
  connect(vm: VmId, member: NetworkMember): MessageSender {
    this.#members.set(vm, member);
    this.#traffic.set(vm, { messages: 0, bytes: 0 });
    return new MemorySender((to, message) => this.#send(vm, to, message));
  }

  /** Takes a VM off the network. */
  disconnect(vm: VmId): void {
    this.#members.delete(vm);
  }

  /** Puts VMs on the far side of a cut; the others are on side 0. */
  cut(vms: readonly VmId[], side: number): void {
    for (const vm of vms) {
      this.#sides.set(vm, side);
    }
  }

  /** Ends all cuts. */
  heal(): void {
    this.#sides.clear();
  }

  /** Counts what a VM has sent since it was connected. */
  countTraffic(vm: VmId): TrafficCount {
    return { ...(this.#traffic.get(vm) ?? { messages: 0, bytes: 0 }) };
  }

  #send(from: VmId, to: VmId, message: Message): void {
    const traffic = this.#traffic.get(from);
    if (traffic !== undefined) {
      traffic.messages++;
      traffic.bytes += this.#options.measure(message);
    }
    const isLost = this.#options.random.nextFraction() <
      this.#options.lossFraction;
    if (!isLost) {
      void this.#deliver(from, to, structuredClone(message));
    }
  }

  async #deliver(from: VmId, to: VmId, message: Message): Promise<void> {
    const { clock, latencyMilliseconds } = this.#options;
    const handling = this.#members.get(to)?.handlingMilliseconds ?? 0;
    const { signal } = new AbortController();
    await clock.sleep(latencyMilliseconds + handling, signal);
    await this.#members.get(to)?.ready();
    const isCut = this.#sides.get(from) !== this.#sides.get(to);
    if (!isCut) {
      this.#members.get(to)?.handle(from, message);
    }
  }
}

class MemorySender extends MessageSender {
  readonly #send: (to: VmId, message: Message) => void;

  constructor(send: (to: VmId, message: Message) => void) {
    super();
    this.#send = send;
  }

  override send(vm: VmId, message: Message): void {
    this.#send(vm, message);
  }

  override learnContact(_contact: VmContact): void {
    // The network of one process needs no addresses.
  }
}

/** In-memory network with message loss, latency and partitions. */

import {
  type Clock,
  createLifetime,
  type RandomSource,
} from "@rattanvane/base";
import {
  type Message,
  MessageSender,
  type VmContact,
  type VmId,
} from "@rattanvane/protocol";

const NEVER_ABORTED = createLifetime().signal;

/** Latency, loss and size measurement of a {@link MemoryNetwork}. */
export interface MemoryNetworkOptions {
  clock: Clock;
  random: RandomSource;
  /** One-way latency of each message. */
  latencyMilliseconds: number;
  /** Fraction of messages that are lost, from 0 to 1. */
  lossFraction: number;
  /** Returns the size of a message in bytes, or 0 if sizes do not matter. */
  measureBytes: (message: Message) => number;
}

/** A VM that is connected to the network. */
export interface NetworkMember {
  handle: (from: VmId, message: Message) => void;
  /** Resolves as soon as the VM can handle a message. */
  ready: () => Promise<void>;
  /** Delay before the VM handles a received message. */
  handlingMilliseconds: number;
}

/** Number and total size of the messages that a VM has sent. */
export interface TrafficCount {
  messages: number;
  bytes: number;
}

/** Delivers messages between VMs that run in the same process. */
export class MemoryNetwork {
  readonly #options: MemoryNetworkOptions;
  readonly #members = new Map<VmId, NetworkMember>();
  readonly #partitions = new Map<VmId, number>();
  readonly #droppedPaths = new Map<VmId, Set<VmId>>();
  readonly #traffic = new Map<VmId, TrafficCount>();

  constructor(options: MemoryNetworkOptions) {
    this.#options = options;
  }

  /** Connects a VM, replacing an earlier one with the same name. */
  connect(vm: VmId, member: NetworkMember): MessageSender {
    this.#members.set(vm, member);
    this.#traffic.set(vm, { messages: 0, bytes: 0 });
    return new MemorySender((to, message) => this.#send(vm, to, message));
  }

  /** Disconnects a VM from the network. */
  disconnect(vm: VmId): void {
    this.#members.delete(vm);
  }

  /** Moves VMs to a partition; all VMs are in partition 0 at first. */
  partition(vms: readonly VmId[], partition: number): void {
    for (const vm of vms) {
      this.#partitions.set(vm, partition);
    }
  }

  /** Makes a VM handle each message that much later. */
  slowDown(vm: VmId, handlingMilliseconds: number): void {
    const member = this.#members.get(vm);
    if (member !== undefined) {
      member.handlingMilliseconds = handlingMilliseconds;
    }
  }

  /** Drops the messages from some VMs to others, but not those back. */
  dropMessages(from: readonly VmId[], to: readonly VmId[]): void {
    for (const sender of from) {
      const dropped = this.#droppedPaths.get(sender) ?? new Set();
      to.forEach((vm) => dropped.add(vm));
      this.#droppedPaths.set(sender, dropped);
    }
  }

  /** Moves all VMs back to the same partition, and drops nothing any more. */
  heal(): void {
    this.#partitions.clear();
    this.#droppedPaths.clear();
  }

  /** Returns the traffic that a VM has sent since it was last connected. */
  countTraffic(vm: VmId): TrafficCount {
    return { ...(this.#traffic.get(vm) ?? { messages: 0, bytes: 0 }) };
  }

  #send(from: VmId, to: VmId, message: Message): void {
    const traffic = this.#traffic.get(from);
    if (traffic !== undefined) {
      traffic.messages++;
      traffic.bytes += this.#options.measureBytes(message);
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
    await clock.sleep(latencyMilliseconds + handling, NEVER_ABORTED);
    await this.#members.get(to)?.ready();
    const isCut = this.#partitions.get(from) !== this.#partitions.get(to) ||
      this.#droppedPaths.get(from)?.has(to) === true;
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

  override registerContact(_contact: VmContact): void {
    // Messages are delivered by VM name, so addresses are not needed.
  }
}

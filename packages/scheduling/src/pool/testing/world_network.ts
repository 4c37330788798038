/** A simulated network between the VMs of a test. */

import {
  type Message,
  MessageKind,
  MessageSender,
  type VmContact,
  type VmId,
} from "@rattanvane/protocol";

/** A message in transit. */
export interface Delivery {
  at: number;
  from: VmId;
  to: VmId;
  message: Message;
}

/** Delivers messages in order after a delay; can drop messages. */
export class WorldNetwork {
  /** Pairs of partitioned zones, sorted and joined as in `z1|z2`. */
  readonly partitions = new Set<string>();
  /** Returns true for messages that are dropped. */
  shouldDrop: (message: Message) => boolean = () => false;
  /** The number of messages sent, by kind. */
  readonly counts = new Map<string, number>();
  readonly #delayMilliseconds: number;
  readonly #now: () => number;
  #deliveries: Delivery[] = [];

  constructor(delayMilliseconds: number, now: () => number) {
    this.#delayMilliseconds = delayMilliseconds;
    this.#now = now;
  }

  /** Whether two VMs are partitioned; their names begin with the zone. */
  isPartitioned(from: VmId, to: VmId): boolean {
    const zones = [from, to].map((vm) => vm.split("-")[0]).sort();
    return this.partitions.has(zones.join("|"));
  }

  /** Sends a message unless the VMs are partitioned or it is dropped. */
  send(from: VmId, to: VmId, message: Message): void {
    if (this.isPartitioned(from, to) || this.shouldDrop(message)) {
      return;
    }
    const count = this.counts.get(message.kind) ?? 0;
    this.counts.set(message.kind, count + 1);
    const at = this.#now() + this.#delayMilliseconds;
    this.#deliveries.push({ at, from, to, message: structuredClone(message) });
  }

  /** Removes and returns the messages whose delay has passed. */
  removeDue(): Delivery[] {
    const now = this.#now();
    const due = this.#deliveries.filter(({ at }) => at <= now);
    this.#deliveries = this.#deliveries.filter(({ at }) => at > now);
    return due;
  }

  /** Creates the message sender of a VM. */
  createSender(from: VmId): MessageSender {
    return new WorldSender(this, from);
  }
}

class WorldSender extends MessageSender {
  readonly #network: WorldNetwork;
  readonly #from: VmId;
  readonly #learnedContacts = new Set<VmId>();

  constructor(network: WorldNetwork, from: VmId) {
    super();
    this.#network = network;
    this.#from = from;
  }

  override send(vm: VmId, message: Message): void {
    if (message.kind !== MessageKind.Grant || this.#hasContact(vm)) {
      this.#network.send(this.#from, vm, message);
    }
  }

  override registerContact(contact: VmContact): void {
    this.#learnedContacts.add(contact.vm);
  }

  /** VMs of the same zone are always known, others after `learnContact`. */
  #hasContact(vm: VmId): boolean {
    return vm.split("-")[0] === this.#from.split("-")[0] ||
      this.#learnedContacts.has(vm);
  }
}

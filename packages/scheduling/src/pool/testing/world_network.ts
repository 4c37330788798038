/** Carries messages between the VMs of a test world. */

import {
  type Message,
  MessageKind,
  MessageSender,
  type VmContact,
  type VmId,
} from "@rattanvane/protocol";

/** A message on its way. */
export interface Delivery {
  at: number;
  from: VmId;
  to: VmId;
  message: Message;
}

/** Delivers after a delay, in order; loses what it is told to lose. */
export class WorldNetwork {
  /** Pairs of zones, in order, that do not reach each other. */
  readonly cuts = new Set<string>();
  /** Messages for which this returns true are lost. */
  loses: (message: Message) => boolean = () => false;
  /** Messages sent, by kind. */
  readonly counts = new Map<string, number>();
  readonly #delay: number;
  readonly #now: () => number;
  #deliveries: Delivery[] = [];

  constructor(delayMilliseconds: number, now: () => number) {
    this.#delay = delayMilliseconds;
    this.#now = now;
  }

  /** Whether two VMs do not reach each other; names begin with the zone. */
  isCut(from: VmId, to: VmId): boolean {
    const zones = [from, to].map((vm) => vm.split("-")[0]).sort();
    return this.cuts.has(zones.join("|"));
  }

  /** Sends a message. */
  send(from: VmId, to: VmId, message: Message): void {
    if (this.isCut(from, to) || this.loses(message)) {
      return;
    }
    const count = this.counts.get(message.kind) ?? 0;
    this.counts.set(message.kind, count + 1);
    const at = this.#now() + this.#delay;
    this.#deliveries.push({ at, from, to, message: structuredClone(message) });
  }

  /** Takes out what arrives now. */
  removeDue(): Delivery[] {
    const now = this.#now();
    const due = this.#deliveries.filter(({ at }) => at <= now);
    this.#deliveries = this.#deliveries.filter(({ at }) => at > now);
    return due;
  }

  /** Creates the sender that a VM's parts use. */
  createSender(from: VmId): MessageSender {
    return new WorldSender(this, from);
  }
}

class WorldSender extends MessageSender {
  readonly #network: WorldNetwork;
  readonly #from: VmId;
  readonly #learned = new Set<VmId>();

  constructor(network: WorldNetwork, from: VmId) {
    super();
    this.#network = network;
    this.#from = from;
  }

  override send(vm: VmId, message: Message): void {
    if (message.kind !== MessageKind.Grant || this.#isKnown(vm)) {
      this.#network.send(this.#from, vm, message);
    }
  }

  override learnContact(contact: VmContact): void {
    this.#learned.add(contact.vm);
  }

  /** The VMs of the own zone are known, those of others only when learned. */
  #isKnown(vm: VmId): boolean {
    return vm.split("-")[0] === this.#from.split("-")[0] ||
      this.#learned.has(vm);
  }
}

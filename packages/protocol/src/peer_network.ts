/** The connections between a router and its peers. */

import { once } from "node:events";
import { createServer, type Server, type Socket } from "node:net";
import {
  ChildAbort,
  type Clock,
  ConnectionLimit,
  describeError,
  Emitter,
  type Logger,
  type RandomSource,
} from "@rattanvane/base";
import type { VmContact, VmId } from "./identifiers.ts";
import { runIncomingConnection } from "./incoming_connection.ts";
import type { Message } from "./messages.ts";
import { MessageSender } from "./message_sender.ts";
import { type LinkEnvironment, OutgoingLink } from "./outgoing_link.ts";
import type { ReturnChannel } from "./return_channel.ts";

const DEFAULT_MAX_HANDSHAKES = 128;

/** Dependencies and settings of a router's connections. */
export interface PeerNetworkOptions {
  /** The addresses at which other VMs reach this one. */
  self: VmContact;
  /** The address of the control port; outgoing connections use the same host. */
  listen: { host: string; port: number };
  /** The first key is used for outgoing connections; all are accepted. */
  fleetKeys: readonly string[];
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  /**
   * Incoming connections whose peers are not authenticated yet; one more closes
   * the oldest of them. 128 by default.
   */
  maxHandshakes?: number | undefined;
  /** Handles every received message; errors that it throws are logged. */
  receive: (from: VmId, message: Message) => void;
}

/** Traffic counters of the control port. */
export interface TrafficCounters {
  sentBytes: number;
  receivedBytes: number;
  sentMessages: number;
  receivedMessages: number;
  /** Messages not sent because a link's queue was full or its peer unreachable. */
  droppedMessages: number;
  /** Messages of unknown kinds or with invalid fields, which were ignored. */
  rejectedMessages: number;
  /** Established connections that were lost. */
  lostLinks: number;
}

/** Emitted when a link to a peer opens or is lost. */
export interface LinkChange {
  vm: VmId;
  connected: boolean;
}

interface ManagedLink {
  link: OutgoingLink;
  lifetime: ChildAbort;
}

/**
 * Connects a router to its peers, with one listener and at most one outgoing link
 * per peer. A VM answers its peers on the connections that they have opened.
 */
export class PeerNetwork extends MessageSender {
  readonly traffic: TrafficCounters = {
    sentBytes: 0,
    receivedBytes: 0,
    sentMessages: 0,
    receivedMessages: 0,
    droppedMessages: 0,
    rejectedMessages: 0,
    lostLinks: 0,
  };
  readonly linkChanges = new Emitter<LinkChange>();
  readonly #options: PeerNetworkOptions;
  readonly #contacts = new Map<VmId, VmContact>();
  readonly #links = new Map<VmId, ManagedLink>();
  /** Connections that peers have opened, on which this VM answers them. */
  readonly #channels = new Map<VmId, ReturnChannel>();
  readonly #environment: LinkEnvironment;
  readonly #server: Server;
  readonly #handshakes: ConnectionLimit;
  #signal: AbortSignal = AbortSignal.abort();

  constructor(options: PeerNetworkOptions) {
    super();
    this.#options = options;
    this.#environment = {
      self: options.self,
      localAddress: options.listen.host,
      fleetKeys: options.fleetKeys,
      clock: options.clock,
      random: options.random,
      logger: options.logger,
      countSent: (bytes) => {
        this.traffic.sentBytes += bytes;
        this.traffic.sentMessages++;
      },
      countDropped: (messages) => {
        this.traffic.droppedMessages += messages;
      },
      countLost: () => {
        this.traffic.lostLinks++;
      },
      countReceived: (bytes) => {
        this.traffic.receivedBytes += bytes;
        this.traffic.receivedMessages++;
      },
      countRejected: () => {
        this.traffic.rejectedMessages++;
      },
      receive: (from, message) => this.#deliver(from, message),
    };
    this.#handshakes = new ConnectionLimit(
      options.maxHandshakes ?? DEFAULT_MAX_HANDSHAKES,
    );
    this.#server = createServer((socket) => this.#acceptSocket(socket));
  }

  /** Listens on the control port until the signal aborts; throws if it cannot bind. */
  async start(signal: AbortSignal): Promise<void> {
    this.#signal = signal;
    const { host, port } = this.#options.listen;
    this.#server.listen(port, host);
    await once(this.#server, "listening", { signal });
    signal.addEventListener("abort", () => this.#server.close(), {
      once: true,
    });
  }

  /** The port in use; relevant when the operating system assigns it. */
  get port(): number {
    const address = this.#server.address();
    return address !== null && typeof address === "object" ? address.port : 0;
  }

  override registerContact(contact: VmContact): void {
    this.#contacts.set(contact.vm, contact);
    this.#links.get(contact.vm)?.link.setContact(contact);
  }

  override send(vm: VmId, message: Message): void {
    if (vm === this.#options.self.vm) {
      setImmediate(() => this.#deliver(vm, message));
      return;
    }
    const channel = this.#channels.get(vm);
    if (channel?.isOpen === true && !this.#isLinkOpen(vm)) {
      channel.send(message);
      return;
    }
    this.#findOrStartLink(vm)?.send(message);
  }

  /** Removes a VM that has left permanently and closes its link. */
  removeContact(vm: VmId): void {
    this.#contacts.delete(vm);
    this.#links.get(vm)?.lifetime.abort();
    this.#links.delete(vm);
  }

  #findOrStartLink(vm: VmId): OutgoingLink | undefined {
    const existing = this.#links.get(vm);
    if (existing !== undefined) {
      return existing.link;
    }
    const contact = this.#contacts.get(vm);
    if (contact === undefined || this.#signal.aborted) {
      return undefined;
    }
    const link = new OutgoingLink(contact, this.#environment);
    const lifetime = new ChildAbort(this.#signal);
    this.#links.set(vm, { link, lifetime });
    link.changes.listen(
      (connected) => this.linkChanges.emit({ vm, connected }),
      lifetime.signal,
    );
    link.run(lifetime.signal);
    return link;
  }

  #acceptSocket(socket: Socket): void {
    this.#handshakes.add(socket);
    runIncomingConnection(socket, {
      self: this.#options.self.vm,
      fleetKeys: this.#options.fleetKeys,
      clock: this.#options.clock,
      logger: this.#options.logger,
      accept: (dialer) => {
        this.#handshakes.remove(socket);
        this.registerContact(dialer);
      },
      receive: (from, message) => this.#deliver(from, message),
      open: (dialer, channel) => this.#openChannel(dialer, channel),
      close: (dialer, channel) => this.#closeChannel(dialer, channel),
      countReceived: this.#environment.countReceived,
      countSent: this.#environment.countSent,
      countDropped: this.#environment.countDropped,
      countRejected: this.#environment.countRejected,
    }, this.#signal);
  }

  #openChannel(vm: VmId, channel: ReturnChannel): void {
    this.#channels.set(vm, channel);
    if (!this.#isLinkOpen(vm)) {
      this.linkChanges.emit({ vm, connected: true });
    }
  }

  #closeChannel(vm: VmId, channel: ReturnChannel): void {
    if (this.#channels.get(vm) !== channel) {
      return;
    }
    this.#channels.delete(vm);
    if (!this.#isLinkOpen(vm)) {
      this.linkChanges.emit({ vm, connected: false });
    }
  }

  #isLinkOpen(vm: VmId): boolean {
    return this.#links.get(vm)?.link.isOpen === true;
  }

  #deliver(from: VmId, message: Message): void {
    try {
      this.#options.receive(from, message);
    } catch (thrown) {
      this.#options.logger.error("failed to handle a message", {
        from,
        kind: message.kind,
        reason: describeError(thrown),
      });
    }
  }
}

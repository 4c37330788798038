/** All connections of one router to its peers. */

import { once } from "node:events";
import { createServer, type Server, type Socket } from "node:net";
import {
  ChildAbort,
  type Clock,
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

/** What a router's connections need. */
export interface PeerNetworkOptions {
  /** This VM, as other VMs reach it. */
  self: VmContact;
  /** Where the control port listens, and from where peers are dialled. */
  listen: { host: string; port: number };
  /** The first is used for dialling, all are accepted. */
  fleetKeys: readonly string[];
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  /** Takes every message; an error that it throws is logged. */
  receive: (from: VmId, message: Message) => void;
}

/** How much the control port has carried. */
export interface TrafficCounters {
  sentBytes: number;
  receivedBytes: number;
  sentMessages: number;
  receivedMessages: number;
  /** Not sent, because a link's queue was full or its peer away. */
  droppedMessages: number;
  /** Connections that were open and broke. */
  lostLinks: number;
}

/** A link to a peer opened or was lost. */
export interface LinkChange {
  vm: VmId;
  connected: boolean;
}

interface OpenLink {
  link: OutgoingLink;
  lifetime: ChildAbort;
}

/** Connects a router with its peers, one link for each and one listener. */
export class PeerNetwork extends MessageSender {
  readonly traffic: TrafficCounters = {
    sentBytes: 0,
    receivedBytes: 0,
    sentMessages: 0,
    receivedMessages: 0,
    droppedMessages: 0,
    lostLinks: 0,
  };
  readonly linkChanges = new Emitter<LinkChange>();
  readonly #options: PeerNetworkOptions;
  readonly #contacts = new Map<VmId, VmContact>();
  readonly #links = new Map<VmId, OpenLink>();
  readonly #environment: LinkEnvironment;
  readonly #server: Server;
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
    };
    this.#server = createServer((socket) => this.#acceptSocket(socket));
  }

  /** Listens on the control port until the signal aborts; throws if it cannot. */
  async start(signal: AbortSignal): Promise<void> {
    this.#signal = signal;
    const { host, port } = this.#options.listen;
    this.#server.listen(port, host);
    await once(this.#server, "listening", { signal });
    signal.addEventListener("abort", () => this.#server.close(), {
      once: true,
    });
  }

  /** The port that the listener has; for settings that leave it to the system. */
  get port(): number {
    const address = this.#server.address();
    return address !== null && typeof address === "object" ? address.port : 0;
  }

  override learnContact(contact: VmContact): void {
    this.#contacts.set(contact.vm, contact);
    this.#links.get(contact.vm)?.link.setContact(contact);
  }

  override send(vm: VmId, message: Message): void {
    if (vm === this.#options.self.vm) {
      setImmediate(() => this.#deliver(vm, message));
      return;
    }
    this.#findLink(vm)?.send(message);
  }

  /** Closes the link to a VM that is gone for good. */
  forgetContact(vm: VmId): void {
    this.#contacts.delete(vm);
    this.#links.get(vm)?.lifetime.abort();
    this.#links.delete(vm);
  }

  #findLink(vm: VmId): OutgoingLink | undefined {
    const known = this.#links.get(vm);
    if (known !== undefined) {
      return known.link;
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
    runIncomingConnection(socket, {
      self: this.#options.self.vm,
      fleetKeys: this.#options.fleetKeys,
      clock: this.#options.clock,
      logger: this.#options.logger,
      accept: (dialer) => this.learnContact(dialer),
      receive: (from, message) => this.#deliver(from, message),
      countReceived: (bytes) => {
        this.traffic.receivedBytes += bytes;
        this.traffic.receivedMessages++;
      },
    }, this.#signal);
  }

  #deliver(from: VmId, message: Message): void {
    try {
      this.#options.receive(from, message);
    } catch (thrown) {
      this.#options.logger.error("a message could not be handled", {
        from,
        kind: message.kind,
        reason: describeError(thrown),
      });
    }
  }
}

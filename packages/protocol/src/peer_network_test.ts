import { Buffer } from "node:buffer";
import { connect, createServer, type Socket } from "node:net";
import {
  type Clock,
  createSilentLogger,
  Deferred,
  ManualClock,
  RandomSource,
  SystemClock,
} from "@rattanvane/base";
import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import { encodeFrame } from "./frame.ts";
import type { VmContact, VmId } from "./identifiers.ts";
import { MessageKind } from "./message_kind.ts";
import type { Message, RequestChangesMessage } from "./mod.ts";
import { PeerNetwork } from "./peer_network.ts";

const FLEET_KEY = "first fleet key of thirty-two characters";
const NEXT_KEY = "second fleet key of thirty-two characters";

/** Longer than the delay with which a listener acknowledges frames. */
const ACKNOWLEDGEMENT_MILLISECONDS = 500;

interface Received {
  from: VmId;
  message: Message;
}

interface TestPeer {
  network: PeerNetwork;
  contact: VmContact;
  received: Received[];
  /** Resolves with the next received message. */
  waitForMessage: () => Promise<Received>;
}

function createContact(vm: VmId, controlPort: number): VmContact {
  return { vm, zone: "zone-a", host: "127.0.0.1", controlPort, callerPort: 1 };
}

async function startPeer(
  vm: VmId,
  options: { fleetKeys: string[]; port?: number; clock?: Clock },
  signal: AbortSignal,
): Promise<TestPeer> {
  const received: Received[] = [];
  let next = new Deferred<Received>();
  const network = new PeerNetwork({
    self: createContact(vm, 0),
    listen: { host: "127.0.0.1", port: options.port ?? 0 },
    fleetKeys: options.fleetKeys,
    clock: options.clock ?? new SystemClock(),
    random: new RandomSource(1),
    logger: createSilentLogger(),
    receive: (from, message) => {
      received.push({ from, message });
      next.resolve({ from, message });
      next = new Deferred();
    },
  });
  await network.start(signal);
  return {
    network,
    contact: createContact(vm, network.port),
    received,
    waitForMessage: () => next.promise,
  };
}

function createMessage(afterVersion: number): RequestChangesMessage {
  return { kind: MessageKind.RequestChanges, request: 1, afterVersion };
}

/** Resolves with the number of bytes that the peer sent before it closed. */
function collectUntilClosed(socket: Socket): Promise<number> {
  return new Promise((resolve) => {
    let bytes = 0;
    socket.on("data", (chunk) => bytes += chunk.length);
    socket.on("error", () => {});
    socket.on("close", () => resolve(bytes));
  });
}

describe("PeerNetwork", () => {
  let lifetime: AbortController;

  beforeEach(() => {
    lifetime = new AbortController();
  });

  afterEach(() => lifetime.abort());

  it("ignores messages of unknown kinds and with invalid fields, and delivers the next one", async () => {
    const listener = await startPeer(
      "vm-1",
      { fleetKeys: [FLEET_KEY] },
      lifetime.signal,
    );
    const dialer = await startPeer(
      "vm-2",
      { fleetKeys: [FLEET_KEY] },
      lifetime.signal,
    );
    dialer.network.registerContact(listener.contact);
    const invalid = [
      { kind: "ofALaterRelease" },
      { kind: MessageKind.AttemptAnswering },
      { kind: MessageKind.RequestTable, table: 7 },
    ] as unknown as Message[];
    const next = listener.waitForMessage();
    for (const message of [...invalid, createMessage(1)]) {
      dialer.network.send("vm-1", message);
    }
    expect((await next).message).to.deep.equal(createMessage(1));
    expect(listener.network.traffic.rejectedMessages).to.equal(3);
    const answer = dialer.waitForMessage();
    for (const message of [...invalid, createMessage(2)]) {
      listener.network.send("vm-2", message);
    }
    expect((await answer).message).to.deep.equal(createMessage(2));
    expect(dialer.network.traffic.rejectedMessages).to.equal(3);
    expect(dialer.network.traffic.lostLinks).to.equal(0);
  });

  it("answers a peer on the connection that the peer has opened", async () => {
    const listener = await startPeer(
      "vm-1",
      { fleetKeys: [FLEET_KEY] },
      lifetime.signal,
    );
    // No connection can be opened to this one: its contact names no port.
    const dialer = await startPeer(
      "vm-2",
      { fleetKeys: [FLEET_KEY] },
      lifetime.signal,
    );
    dialer.network.registerContact(listener.contact);
    const question = listener.waitForMessage();
    dialer.network.send("vm-1", createMessage(1));
    await question;
    const answer = dialer.waitForMessage();
    listener.network.send("vm-2", createMessage(2));
    const { from, message } = await answer;
    expect(from).to.equal("vm-1");
    expect(message).to.deep.equal(createMessage(2));
    expect(listener.network.traffic.sentMessages).to.equal(1);
    expect(dialer.network.traffic.receivedMessages).to.equal(1);
  });

  it("delivers messages in order, also to itself", async () => {
    const listener = await startPeer(
      "vm-1",
      { fleetKeys: [FLEET_KEY] },
      lifetime.signal,
    );
    const dialer = await startPeer(
      "vm-2",
      { fleetKeys: [FLEET_KEY] },
      lifetime.signal,
    );
    dialer.network.registerContact(listener.contact);
    for (let version = 0; version < 200; version++) {
      dialer.network.send("vm-1", createMessage(version));
    }
    while (listener.received.length < 200) {
      await listener.waitForMessage();
    }
    const versions = listener.received.map((item) =>
      (item.message as RequestChangesMessage).afterVersion
    );
    expect(versions).to.deep.equal([...Array(200).keys()]);
    expect(listener.received[0]?.from).to.equal("vm-2");
    const ownMessage = dialer.waitForMessage();
    dialer.network.send("vm-2", createMessage(7));
    expect((await ownMessage).from).to.equal("vm-2");
  });

  it("accepts the second key during a rotation and rejects others", async () => {
    const listener = await startPeer(
      "vm-1",
      { fleetKeys: [FLEET_KEY, NEXT_KEY] },
      lifetime.signal,
    );
    const peerWithNextKey = await startPeer(
      "vm-2",
      { fleetKeys: [NEXT_KEY] },
      lifetime.signal,
    );
    const unauthorisedPeer = await startPeer(
      "vm-3",
      { fleetKeys: ["a key that nobody in the fleet has been given"] },
      lifetime.signal,
    );
    unauthorisedPeer.network.registerContact(listener.contact);
    unauthorisedPeer.network.send("vm-1", createMessage(1));
    peerWithNextKey.network.registerContact(listener.contact);
    const message = listener.waitForMessage();
    peerWithNextKey.network.send("vm-1", createMessage(2));
    expect((await message).from).to.equal("vm-2");
    expect(listener.received).to.have.length(1);
  });

  it("reaches a peer again after it restarted at the same port", async () => {
    const first = new AbortController();
    const listener = await startPeer(
      "vm-1",
      { fleetKeys: [FLEET_KEY] },
      first.signal,
    );
    const dialer = await startPeer(
      "vm-2",
      { fleetKeys: [FLEET_KEY] },
      lifetime.signal,
    );
    dialer.network.registerContact(listener.contact);
    const firstMessage = listener.waitForMessage();
    dialer.network.send("vm-1", createMessage(1));
    await firstMessage;
    let lost = new Deferred<void>();
    dialer.network.linkChanges.listen((change) => {
      if (!change.connected) {
        lost.resolve();
      }
    }, lifetime.signal);
    first.abort();
    await lost.promise;
    const { traffic } = dialer.network;
    expect([traffic.lostLinks, traffic.droppedMessages]).to.deep.equal([1, 0]);
    lost = new Deferred();
    dialer.network.send("vm-1", createMessage(1));
    await lost.promise;
    expect([traffic.lostLinks, traffic.droppedMessages]).to.deep.equal([1, 1]);
    const restarted = await startPeer(
      "vm-1",
      { fleetKeys: [FLEET_KEY], port: listener.contact.controlPort },
      lifetime.signal,
    );
    const message = restarted.waitForMessage();
    const resend = setInterval(
      () => dialer.network.send("vm-1", createMessage(2)),
      20,
    );
    expect((await message).from).to.equal("vm-2");
    clearInterval(resend);
  });

  it("drops a link whose frames are silently lost in transit", async () => {
    const clock = new ManualClock();
    const fleetKeys = [FLEET_KEY];
    const listener = await startPeer("vm-1", { fleetKeys }, lifetime.signal);
    const relay = await startRelay(listener.contact, lifetime.signal);
    const dialer = await startPeer(
      "vm-2",
      { fleetKeys, clock },
      lifetime.signal,
    );
    const changes: boolean[] = [];
    dialer.network.linkChanges.listen(
      (change) => changes.push(change.connected),
      lifetime.signal,
    );
    dialer.network.registerContact(createContact("vm-1", relay.port));
    const first = listener.waitForMessage();
    dialer.network.send("vm-1", createMessage(1));
    await first;
    relay.stopForwarding();
    dialer.network.send("vm-1", createMessage(2));
    while (changes.length < 2) {
      await clock.advance(ACKNOWLEDGEMENT_MILLISECONDS);
    }
    expect(changes.slice(0, 2)).to.deep.equal([true, false]);
    expect(listener.received).to.have.length(1);
  });

  it("closes a replayed handshake before any message is read", async () => {
    const listener = await startPeer(
      "vm-1",
      { fleetKeys: [FLEET_KEY] },
      lifetime.signal,
    );
    const recorded = await collectDialerBytes(listener, lifetime.signal);
    expect(listener.received).to.have.length(1);
    const replay = connect(listener.contact.controlPort, "127.0.0.1");
    const closed = collectUntilClosed(replay);
    replay.write(recorded);
    await closed;
    expect(listener.received).to.have.length(1);
  });

  for (
    const invalidStart of [
      {
        name: "bytes that are not CBOR",
        bytes: encodeFrame(Uint8Array.of(255)),
      },
      { name: "a frame that is too long", bytes: Uint8Array.of(127, 0, 0, 0) },
      {
        name: "an HTTP request",
        bytes: new TextEncoder().encode("GET / HTTP/1.1\r\n\r\n"),
      },
      { name: "an empty frame", bytes: Uint8Array.of(0, 0, 0, 0) },
      {
        name: "a value that is not a hello message",
        bytes: encodeFrame(Uint8Array.of(1)),
      },
    ]
  ) {
    it(`closes a connection that starts with ${invalidStart.name}`, async () => {
      const listener = await startPeer(
        "vm-1",
        { fleetKeys: [FLEET_KEY] },
        lifetime.signal,
      );
      const socket = connect(listener.contact.controlPort, "127.0.0.1");
      const closed = collectUntilClosed(socket);
      socket.write(invalidStart.bytes);
      expect(await closed).to.equal(0);
      expect(listener.received).to.have.length(0);
    });
  }
});

/** A TCP relay in front of a listener. */
interface Relay {
  port: number;
  /** Bytes sent by dialers, in order. */
  chunks: Uint8Array[];
  /** Stops forwarding data but keeps the connections open. */
  stopForwarding: () => void;
}

async function startRelay(
  target: VmContact,
  signal: AbortSignal,
): Promise<Relay> {
  const sockets: Socket[] = [];
  const chunks: Uint8Array[] = [];
  const server = createServer((socket) => {
    const upstream = connect(target.controlPort, "127.0.0.1");
    sockets.push(socket, upstream);
    socket.on("data", (chunk) => chunks.push(chunk));
    socket.on("error", () => {});
    upstream.on("error", () => {});
    socket.pipe(upstream).pipe(socket);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  signal.addEventListener("abort", () => {
    server.close();
    sockets.forEach((socket) => socket.destroy());
  });
  const address = server.address();
  const port = address !== null && typeof address === "object"
    ? address.port
    : 0;
  const stopForwarding = () => sockets.forEach((socket) => socket.unpipe());
  return { port, chunks, stopForwarding };
}

/** Records the bytes that a dialer sends for a handshake and one message. */
async function collectDialerBytes(
  listener: TestPeer,
  signal: AbortSignal,
): Promise<Uint8Array> {
  const relay = await startRelay(listener.contact, signal);
  const dialer = await startPeer("vm-2", { fleetKeys: [FLEET_KEY] }, signal);
  dialer.network.registerContact(createContact("vm-1", relay.port));
  const message = listener.waitForMessage();
  dialer.network.send("vm-1", createMessage(1));
  await message;
  return Buffer.concat(relay.chunks);
}

import { connect, type Socket } from "node:net";
import {
  createSilentLogger,
  Deferred,
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

interface Received {
  from: VmId;
  message: Message;
}

interface TestPeer {
  network: PeerNetwork;
  contact: VmContact;
  received: Received[];
  /** Resolves with the next message. */
  waitForMessage: () => Promise<Received>;
}

function createContact(vm: VmId, controlPort: number): VmContact {
  return { vm, zone: "zone-a", host: "127.0.0.1", controlPort, callerPort: 1 };
}

async function startPeer(
  vm: VmId,
  options: { fleetKeys: string[]; port?: number },
  signal: AbortSignal,
): Promise<TestPeer> {
  const received: Received[] = [];
  let next = new Deferred<Received>();
  const network = new PeerNetwork({
    self: createContact(vm, 0),
    listen: { host: "127.0.0.1", port: options.port ?? 0 },
    fleetKeys: options.fleetKeys,
    clock: new SystemClock(),
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

/** Resolves with everything that the other side sent before it closed. */
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
    dialer.network.learnContact(listener.contact);
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
    const own = dialer.waitForMessage();
    dialer.network.send("vm-2", createMessage(7));
    expect((await own).from).to.equal("vm-2");
  });

  it("accepts the second key during a rotation and refuses others", async () => {
    const listener = await startPeer(
      "vm-1",
      { fleetKeys: [FLEET_KEY, NEXT_KEY] },
      lifetime.signal,
    );
    const rotated = await startPeer(
      "vm-2",
      { fleetKeys: [NEXT_KEY] },
      lifetime.signal,
    );
    const stranger = await startPeer(
      "vm-3",
      { fleetKeys: ["a key that nobody in the fleet has been given"] },
      lifetime.signal,
    );
    stranger.network.learnContact(listener.contact);
    stranger.network.send("vm-1", createMessage(1));
    rotated.network.learnContact(listener.contact);
    const message = listener.waitForMessage();
    rotated.network.send("vm-1", createMessage(2));
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
    dialer.network.learnContact(listener.contact);
    const greeting = listener.waitForMessage();
    dialer.network.send("vm-1", createMessage(1));
    await greeting;
    const lost = new Deferred<void>();
    dialer.network.linkChanges.listen((change) => {
      if (!change.connected) {
        lost.resolve();
      }
    }, lifetime.signal);
    first.abort();
    await lost.promise;
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
    const bad of [
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
        name: "a value that is no hello",
        bytes: encodeFrame(Uint8Array.of(1)),
      },
    ]
  ) {
    it(`closes a connection that starts with ${bad.name}`, async () => {
      const listener = await startPeer(
        "vm-1",
        { fleetKeys: [FLEET_KEY] },
        lifetime.signal,
      );
      const socket = connect(listener.contact.controlPort, "127.0.0.1");
      const closed = collectUntilClosed(socket);
      socket.write(bad.bytes);
      expect(await closed).to.equal(0);
      expect(listener.received).to.have.length(0);
    });
  }
});

/** Lets a real dialer send one message through a recorder of its bytes. */
async function collectDialerBytes(
  listener: TestPeer,
  signal: AbortSignal,
): Promise<Uint8Array> {
  const { createServer } = await import("node:net");
  const { Buffer } = await import("node:buffer");
  const chunks: Uint8Array[] = [];
  const recorder = createServer((socket) => {
    const upstream = connect(listener.contact.controlPort, "127.0.0.1");
    socket.on("data", (chunk) => chunks.push(chunk));
    socket.on("error", () => {});
    upstream.on("error", () => {});
    socket.pipe(upstream).pipe(socket);
  });
  await new Promise<void>((resolve) =>
    recorder.listen(0, "127.0.0.1", resolve)
  );
  signal.addEventListener("abort", () => recorder.close());
  const address = recorder.address();
  const port = address !== null && typeof address === "object"
    ? address.port
    : 0;
  const dialer = await startPeer("vm-2", { fleetKeys: [FLEET_KEY] }, signal);
  dialer.network.learnContact(createContact("vm-1", port));
  const message = listener.waitForMessage();
  dialer.network.send("vm-1", createMessage(1));
  await message;
  return Buffer.concat(chunks);
}

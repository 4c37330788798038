import { Buffer } from "node:buffer";
import { once } from "node:events";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { createLifetime, Deferred } from "@rattanvane/base";
import { ConnectionEnd } from "@rattanvane/platform";
import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import type { AnswerHeaders } from "../model/dialect.ts";
import { waitUntil } from "../testing/router_harness.ts";
import {
  type AnswerControl,
  AnswerReceiver,
  EndpointTransport,
  type TransportFailure,
  TransportFailureKind,
} from "./endpoint_transport.ts";

const LOOPBACK_HOST = "127.0.0.1";
/** A caller has its answer by then, in milliseconds. */
const ROUTE_TIMEOUT = 1_500;
/** A tenth of a core at two microseconds a piece, until the timeout. */
const MAX_PIECES = 75_000;
const REQUEST = {
  method: "GET",
  target: "/",
  headers: [],
  body: new Uint8Array(),
};
const CHUNKED_HEAD = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/** Bytes that an endpoint sends first and those that it repeats without end. */
const ENDLESS_ANSWERS = {
  "interim answers": ["", "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"],
  "a status line": ["HTTP/1.1 200 ", "reason "],
  "a chunk extension": [`${CHUNKED_HEAD}5;`, "name=value;"],
  "chunks of one byte": [CHUNKED_HEAD, "1\r\n0\r\n"],
  "header fields": ["HTTP/1.1 200 OK\r\n", "name: value\r\n"],
  "trailer fields": [`${CHUNKED_HEAD}0\r\n`, "name: value\r\n"],
};

/** The begin of answers that end with their connection. */
const CLOSED_ANSWERS = {
  "without a length": "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\na",
  "in chunks": "HTTP/1.1 200 OK\r\nconnection: close\r\n" +
    "transfer-encoding: chunked\r\n\r\n1\r\na\r\n",
};

/** Records what it is called with. */
class RecordingReceiver extends AnswerReceiver {
  readonly outcome = new Deferred<TransportFailure | undefined>();
  control: AnswerControl | undefined;
  bytes = 0;
  pieces = 0;
  pausesAtOnce = false;

  override begin(
    _status: number,
    _headers: AnswerHeaders,
    control: AnswerControl,
  ): void {
    this.control = control;
  }

  override receive(chunk: Uint8Array): void {
    this.bytes += chunk.length;
    this.pieces++;
    if (this.pausesAtOnce) {
      this.control?.pause();
    }
  }

  override end(): void {
    this.outcome.resolve(undefined);
  }

  override fail(cause: TransportFailure): void {
    this.outcome.resolve(cause);
  }
}

/** Writes as fast as the connection takes it, until it is closed. */
function sendEndlessly(socket: Socket, first: string, repeated: string): void {
  const block = Buffer.from(repeated.repeat(2_000));
  const write = () => {
    while (!socket.destroyed && socket.write(block));
  };
  socket.on("drain", write);
  socket.write(first);
  write();
}

describe("EndpointTransport", () => {
  let lifetime = createLifetime();
  let transport = new EndpointTransport(LOOPBACK_HOST, lifetime.signal);
  let sockets: Socket[] = [];
  let servers: Server[] = [];
  beforeEach(() => {
    lifetime = createLifetime();
    transport = new EndpointTransport(LOOPBACK_HOST, lifetime.signal);
    sockets = [];
    servers = [];
  });
  afterEach(() => {
    lifetime.abort();
    sockets.forEach((socket) => socket.destroy());
  });

  /** Starts an endpoint; `answer` is called with each request. */
  async function startEndpoint(
    answer: (socket: Socket) => void,
  ): Promise<string> {
    const server = createServer((socket) => {
      sockets.push(socket);
      socket.on("error", () => socket.destroy());
      socket.on("data", () => answer(socket));
    });
    servers.push(server);
    server.listen(0, LOOPBACK_HOST);
    await once(server, "listening");
    lifetime.signal.addEventListener("abort", () => server.close());
    return `${LOOPBACK_HOST}:${(server.address() as AddressInfo).port}`;
  }

  async function startSoundEndpoint(): Promise<string> {
    return await startEndpoint((socket) =>
      socket.write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
    );
  }

  function send(
    address: string,
    mayStart = () => true,
  ): RecordingReceiver {
    const receiver = new RecordingReceiver();
    const request = transport.send(address, { ...REQUEST, mayStart }, receiver);
    lifetime.signal.addEventListener("abort", () => request.cancel());
    return receiver;
  }

  /** Undefined when the request is still open at the route's timeout. */
  async function waitForOutcome(receiver: RecordingReceiver) {
    const timeout = new Deferred<"open">();
    const timer = setTimeout(() => timeout.resolve("open"), ROUTE_TIMEOUT);
    const outcome = await Promise.race([
      receiver.outcome.promise,
      timeout.promise,
    ]);
    clearTimeout(timer);
    return outcome;
  }

  for (const [kind, [first, repeated]] of Object.entries(ENDLESS_ANSWERS)) {
    // Such bytes pass every limit on headers and bodies, and took the whole
    // processor of a VM until the deadline of the request.
    it(`gives up an answer with ${kind} without end`, async () => {
      const address = await startEndpoint((socket) =>
        sendEndlessly(socket, first as string, repeated as string)
      );
      const receiver = send(address);
      const outcome = await waitForOutcome(receiver);
      expect(outcome).to.include({ kind: TransportFailureKind.Broken });
    });
  }

  // Opening a connection takes up to 400 ms, a fifth of the time in which an
  // endpoint that leaves may still get requests.
  it("sends nothing to an endpoint that closes while the connection is opened", async () => {
    let isClosed = false;
    let requests = 0;
    const address = await startEndpoint(() => requests++);
    const receiver = send(address, () => !isClosed);
    isClosed = true;
    const outcome = await waitForOutcome(receiver);
    expect(outcome).to.include({ kind: TransportFailureKind.NotSent });
    await waitUntil(() => sockets[0]?.closed === true);
    expect(requests).to.equal(0);
  });

  const UNFRAMED_ANSWER = CLOSED_ANSWERS["without a length"];

  it("takes an answer without a length as complete while its endpoint accepts connections", async () => {
    const address = await startEndpoint((socket) =>
      socket.end(UNFRAMED_ANSWER)
    );
    const receiver = send(address);
    expect(await waitForOutcome(receiver)).to.equal(undefined);
    expect(receiver.bytes).to.equal(1);
  });

  it("needs no new connection to an endpoint to which another one is open", async () => {
    const address = await startEndpoint((socket) => {
      if (socket === sockets[1]) {
        socket.end(UNFRAMED_ANSWER);
      }
    });
    const receivers = [send(address), send(address)];
    const outcomes = await Promise.all(receivers.map(waitForOutcome));
    expect(outcomes).to.have.members([undefined, "open"]);
    expect(sockets).to.have.lengthOf(2);
  });

  // A process that ends closes its connections like one that has said all.
  for (const ends of [1, 2]) {
    it(`takes no answer without a length as complete whose endpoint ends with ${ends} connections`, async () => {
      const address = await startEndpoint((socket) => {
        socket.write(UNFRAMED_ANSWER);
        if (sockets.length === ends) {
          servers.forEach((server) => server.close());
          setTimeout(() => sockets.forEach((each) => each.destroy()), 20);
        }
      });
      const receivers = Array.from({ length: ends }, () => send(address));
      for (const receiver of receivers) {
        const outcome = await waitForOutcome(receiver);
        expect(outcome).to.include({ kind: TransportFailureKind.Broken });
      }
    });
  }

  // undici throws an assertion that nothing catches when the connection of a
  // paused answer ends, which ended the process and with it all its answers.
  for (const [kind, answer] of Object.entries(CLOSED_ANSWERS)) {
    for (const end of [ConnectionEnd.Closed, ConnectionEnd.Reset]) {
      it(`survives a paused answer ${kind} whose connection is ${end}`, async () => {
        const ended = new Deferred<void>();
        const address = await startEndpoint((socket) => {
          socket.write(answer);
          setTimeout(() => {
            if (end === ConnectionEnd.Closed) {
              socket.end();
            } else {
              socket.resetAndDestroy();
            }
            setTimeout(() => ended.resolve(), 100);
          }, 50);
        });
        const receiver = send(address);
        receiver.pausesAtOnce = true;
        await ended.promise;
        receiver.control?.resume();
        const isComplete = kind === "without a length" &&
          end === ConnectionEnd.Closed;
        expect(await waitForOutcome(receiver)).to.satisfy(
          (outcome: TransportFailure | undefined) =>
            isComplete
              ? outcome === undefined
              : outcome?.kind === TransportFailureKind.Broken,
        );
        expect(await waitForOutcome(send(await startSoundEndpoint())))
          .to.equal(undefined);
      });
    }
  }

  it("receives a long answer in small chunks, and answers after each other", async () => {
    const chunk = `a\r\n${"x".repeat(10)}\r\n`;
    const address = await startEndpoint((socket) =>
      socket.write(`${CHUNKED_HEAD}${chunk.repeat(15_000)}0\r\n\r\n`)
    );
    for (let answer = 0; answer < 5; answer++) {
      const receiver = send(address);
      expect(await waitForOutcome(receiver)).to.equal(undefined);
      expect(receiver.bytes).to.equal(150_000);
    }
    expect(sockets.length).to.be.below(5);
  });

  // Small pieces that are no framing pass the limit on it: their number is
  // limited by time, so that other requests of the VM are answered meanwhile.
  for (
    const [kind, chunk] of Object.entries({
      "lines in chunks of their own": "6\r\nid: 1\n\r\n",
      "events in chunks of their own": "9\r\ndata: 1\n\n\r\n",
    })
  ) {
    it(`receives ${kind} without end no faster than the limit`, async () => {
      const address = await startEndpoint((socket) =>
        sendEndlessly(socket, CHUNKED_HEAD, chunk)
      );
      const receiver = send(address);
      expect(await waitForOutcome(receiver)).to.equal("open");
      expect(receiver.pieces).to.be.below(MAX_PIECES);
      receiver.control?.cancel();
    });
  }

  it("receives as fast as the endpoint sends what is not in small pieces", async () => {
    const chunk = `10000\r\n${"x".repeat(0x10000)}\r\n`;
    const address = await startEndpoint((socket) =>
      socket.write(`${CHUNKED_HEAD}${chunk.repeat(100)}0\r\n\r\n`)
    );
    const receiver = send(address);
    expect(await waitForOutcome(receiver)).to.equal(undefined);
    expect(receiver.bytes).to.equal(100 * 0x10000);
  });

  it("stays paused while the receiver is, whatever the limit allows", async () => {
    const address = await startEndpoint((socket) =>
      sendEndlessly(socket, CHUNKED_HEAD, "6\r\nid: 1\n\r\n")
    );
    const receiver = send(address);
    await waitForOutcome(receiver);
    receiver.control?.pause();
    const { pieces } = receiver;
    expect(await waitForOutcome(receiver)).to.equal("open");
    // undici passes on the piece that it has already parsed.
    expect(receiver.pieces).to.be.at.most(pieces + 1);
    receiver.control?.resume();
    expect(await waitForOutcome(receiver)).to.equal("open");
    expect(receiver.pieces).to.be.above(pieces + 1);
    receiver.control?.cancel();
  });
});

/** Callers whose connections are passed on to VMs that fail and restart. */

import { once } from "node:events";
import {
  createServer as createHttpServer,
  type IncomingMessage,
  type Server as HttpServer,
  type ServerResponse,
} from "node:http";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import {
  createSilentLogger,
  RandomSource,
  SystemClock,
} from "@rattanvane/base";
import { sendConnectionRefusal } from "../ingress/connection_refuser.ts";
import { ConnectionRelay } from "../ingress/connection_relay.ts";
import { createCallerMemory } from "./fixtures.ts";

const MAX_RELAYS = 128;
const HOST = "127.0.0.1";
const PEERS = 3;
const CALLERS = 120;
const CALLER_INTERVAL_MILLISECONDS = 5;
const RESTART_INTERVAL_MILLISECONDS = 90;
const RESTART_MILLISECONDS = 40;
const PIECES = 6;
const PIECE_MILLISECONDS = 4;
const PIECE = "0123456789";
const WHOLE_BODY = PIECE.repeat(PIECES);

/** How a VM answers a request. */
enum AnswerKind {
  Whole,
  Chunked,
  /** The body ends with its connection. */
  Unframed,
  /** The connection is reset within the body. */
  Broken,
  /** The connection is reset before the answer. */
  Lost,
}

const ANSWER_KINDS = [
  AnswerKind.Whole,
  AnswerKind.Chunked,
  AnswerKind.Unframed,
  AnswerKind.Broken,
  AnswerKind.Lost,
];

/** What went wrong; each list names requests. */
export interface RelayFaults {
  /** Refused requests that a VM had begun. */
  refusedButRun: string[];
  runTwice: string[];
  /** Answers that looked complete and were not. */
  truncated: string[];
  /** Answers to other requests. */
  mixed: string[];
}

/** The faults of a run and how many requests were served and refused. */
export interface RelayRunResult extends RelayFaults {
  served: number;
  refused: number;
  /** Connections that were still passed on after all callers had ended. */
  left: number;
}

interface Peer {
  port: number;
  server: HttpServer;
  sockets: Set<Socket>;
}

/** Runs callers beside VMs that reset their connections and restart in turn. */
export async function runRelays(seed: number): Promise<RelayRunResult> {
  const random = new RandomSource(seed);
  const runs = new Map<string, number>();
  const peers: Peer[] = [];
  for (let index = 0; index < PEERS; index++) {
    peers.push(await startPeer(random, runs, 0));
  }
  const relay = new ConnectionRelay({
    maxConnections: MAX_RELAYS,
    memory: createCallerMemory(),
    clock: new SystemClock(),
    random,
    logger: createSilentLogger(),
    host: HOST,
    listPeers: () =>
      peers.map(({ port }) => ({
        vm: `vm-${port}`,
        zone: "zone-a",
        host: HOST,
        controlPort: 1,
        callerPort: port,
      })),
    refuse: sendConnectionRefusal,
  });
  const entry = createServer({ allowHalfOpen: true }, (socket) => {
    if (!relay.start(socket)) {
      sendConnectionRefusal(socket);
    }
  });
  entry.listen(0, HOST);
  await once(entry, "listening");
  const { port } = entry.address() as AddressInfo;
  const lifetime = new AbortController();
  const restarts = runRestarts(peers, random, runs, lifetime.signal);
  const callers: Promise<[string, string, boolean]>[] = [];
  for (let index = 0; index < CALLERS; index++) {
    callers.push(sendRequest(port, `r${index}`, random.nextFraction() < 0.1));
    await waitFor(CALLER_INTERVAL_MILLISECONDS);
  }
  const answers = await Promise.all(callers);
  lifetime.abort();
  await restarts;
  entry.close();
  for (const peer of peers) {
    stopPeer(peer);
  }
  await waitFor(RESTART_MILLISECONDS);
  return { ...judgeAnswers(answers, runs), left: relay.open };
}

function judgeAnswers(
  answers: readonly [string, string, boolean][],
  runs: ReadonlyMap<string, number>,
): Omit<RelayRunResult, "left"> {
  const faults: RelayFaults = {
    refusedButRun: [],
    runTwice: [],
    truncated: [],
    mixed: [],
  };
  let served = 0;
  let refused = 0;
  for (const [id, text, isReset] of answers) {
    const count = runs.get(id) ?? 0;
    const [head = "", body = ""] = splitOnce(text);
    if (count > 1) {
      faults.runTwice.push(id);
    }
    if (head.startsWith("http/1.1 503")) {
      refused++;
      if (count > 0) {
        faults.refusedButRun.push(id);
      }
    } else if (head !== "") {
      if (!head.includes(`x-request: ${id}\r\n`)) {
        faults.mixed.push(id);
      }
      const isComplete = judgeCompleteness(head, body, isReset);
      served += isComplete ? 1 : 0;
      if (isComplete && decodeBody(head, body) !== WHOLE_BODY) {
        faults.truncated.push(id);
      }
    }
  }
  return { ...faults, served, refused };
}

/** Whether a caller would take an answer for complete. */
function judgeCompleteness(
  head: string,
  body: string,
  isReset: boolean,
): boolean {
  if (head.includes("transfer-encoding: chunked")) {
    return body.endsWith("0\r\n\r\n");
  }
  const length = /content-length: (\d+)/.exec(head)?.[1];
  return length === undefined ? !isReset : body.length === Number(length);
}

function decodeBody(head: string, body: string): string {
  return head.includes("transfer-encoding: chunked")
    ? body.split("\r\n").filter((line) => line === PIECE).join("")
    : body;
}

function splitOnce(text: string): [string, string] {
  const end = text.indexOf("\r\n\r\n");
  return end < 0
    ? ["", ""]
    : [`${text.slice(0, end).toLowerCase()}\r\n`, text.slice(end + 4)];
}

/** Sends a request; resolves to its id, what came back and whether by a reset. */
async function sendRequest(
  port: number,
  id: string,
  leaves: boolean,
): Promise<[string, string, boolean]> {
  const socket = connect({ port, host: HOST, allowHalfOpen: true });
  let text = "";
  let isReset = false;
  // An end that was reported for a reset shows in the next write.
  socket.on("end", () => {
    socket.write("\r\n", (error) => {
      isReset ||= error instanceof Error;
      socket.destroy();
    });
  });
  socket.on("data", (chunk) => {
    text += chunk.toString("latin1");
    if (leaves) {
      socket.destroy();
    }
  });
  socket.on("error", () => isReset = true);
  socket.write(
    `POST /a HTTP/1.1\r\nHost: a\r\nX-Request: ${id}\r\n` +
      "Content-Length: 4\r\n\r\nbody",
  );
  await new Promise((resolve) => socket.once("close", resolve));
  return [id, text, isReset || leaves];
}

async function runRestarts(
  peers: Peer[],
  random: RandomSource,
  runs: Map<string, number>,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await waitFor(random.nextInteger(1, RESTART_INTERVAL_MILLISECONDS));
    const index = random.nextInteger(0, PEERS - 1);
    const peer = peers[index] as Peer;
    stopPeer(peer);
    await waitFor(random.nextInteger(1, RESTART_MILLISECONDS));
    peers[index] = await startPeer(random, runs, peer.port);
  }
}

async function startPeer(
  random: RandomSource,
  runs: Map<string, number>,
  port: number,
): Promise<Peer> {
  const server = createHttpServer((request, response) => {
    const id = String(request.headers["x-request"]);
    runs.set(id, (runs.get(id) ?? 0) + 1);
    const kind = random.pick(ANSWER_KINDS) ?? AnswerKind.Whole;
    void sendAnswer(request, response, kind);
  });
  const sockets = new Set<Socket>();
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.once("close", () => sockets.delete(socket));
  });
  server.listen(port, HOST);
  await once(server, "listening");
  return { port: (server.address() as AddressInfo).port, server, sockets };
}

function stopPeer({ server, sockets }: Peer): void {
  server.close();
  for (const socket of sockets) {
    socket.resetAndDestroy();
  }
}

async function sendAnswer(
  request: IncomingMessage,
  response: ServerResponse,
  kind: AnswerKind,
): Promise<void> {
  request.resume();
  const headers = { "x-request": String(request.headers["x-request"]) };
  if (kind === AnswerKind.Lost) {
    response.socket?.resetAndDestroy();
    return;
  }
  if (kind === AnswerKind.Unframed) {
    response.useChunkedEncodingByDefault = false;
  }
  const length = kind === AnswerKind.Whole
    ? { "content-length": WHOLE_BODY.length }
    : {};
  response.writeHead(200, { ...headers, ...length });
  for (let piece = 0; piece < PIECES; piece++) {
    response.write(PIECE);
    await waitFor(PIECE_MILLISECONDS);
    if (kind === AnswerKind.Broken && piece === PIECES / 2) {
      response.socket?.resetAndDestroy();
      return;
    }
  }
  response.end();
}

function waitFor(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

import { Buffer } from "node:buffer";
import { once } from "node:events";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { INVALID_HEADS } from "@rattanvane/platform/testing";
import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import { Repeatability } from "./model/route.ts";
import {
  buildConfiguration,
  buildEndpoint,
  buildRoute,
} from "./testing/fixtures.ts";
import { RouterHarness, waitUntil } from "./testing/router_harness.ts";

const LOOPBACK_HOST = "127.0.0.1";
const MAX_UPLOAD_BYTES = 1024 * 1024;
const SMALL = 4_000;
const LARGE = 900_000;
/** Statuses that promise that a request has not run. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];
const KINDS = Object.values(Repeatability);
const SEALED = "x-seal: s\r\nx-request: r1\r\n";
const EVENT = "id: 1\ndata: 1\n\n";
const INVALID_STATUSES = [
  "000",
  "099",
  "600",
  "999",
  "abc",
  "2000",
  "20",
  "-1",
];

/** Answers to uploads, by what is wrong with them. */
const INVALID_ANSWERS: Record<string, string> = Object.fromEntries([
  ...INVALID_STATUSES.map((status) => [
    `the status ${status}`,
    `HTTP/1.1 ${status} OK\r\n${SEALED}content-length: 15\r\n\r\n${EVENT}`,
  ]),
  ...Object.entries(INVALID_HEADS).map(([fault, formatAnswer]) => [
    fault,
    formatAnswer({ fields: SEALED, body: EVENT }),
  ]),
]);

type Router = Awaited<ReturnType<RouterHarness["startReadyRouter"]>>;

/** A request as an endpoint has read it, with the length of its body. */
interface ReadUpload {
  target: string;
  bytes: number;
}

/** Reads requests, one after the other, from the bytes of a connection. */
class UploadReader {
  readonly uploads: ReadUpload[] = [];
  /** Bytes that are no request. */
  garbage = "";
  #bytes = Buffer.alloc(0);
  #current: (ReadUpload & { left: number }) | undefined;

  /** Returns the targets of the requests whose heads were complete now. */
  read(chunk: Buffer): string[] {
    const targets: string[] = [];
    this.#bytes = Buffer.concat([this.#bytes, chunk]);
    for (;;) {
      if (this.#current === undefined) {
        const end = this.#bytes.indexOf("\r\n\r\n");
        if (end === -1) {
          return targets;
        }
        const head = this.#bytes.subarray(0, end).toString();
        this.#bytes = this.#bytes.subarray(end + 4);
        const target = /^POST (\S+) HTTP\/1\.1\r\n/.exec(head)?.[1];
        if (target === undefined) {
          this.garbage += head;
          return targets;
        }
        const left = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
        this.#current = { target, bytes: left, left };
        targets.push(target);
      }
      const taken = Math.min(this.#current.left, this.#bytes.length);
      this.#current.left -= taken;
      this.#bytes = this.#bytes.subarray(taken);
      if (this.#current.left > 0) {
        return targets;
      }
      const { target, bytes } = this.#current;
      this.uploads.push({ target, bytes });
      this.#current = undefined;
    }
  }
}

describe("an endpoint that answers before it has read the request", () => {
  let harness = new RouterHarness();
  let server: Server | undefined;
  let sockets: Socket[] = [];
  let readers: UploadReader[] = [];
  beforeEach(() => {
    harness = new RouterHarness();
    sockets = [];
    readers = [];
  });
  afterEach(async () => {
    sockets.forEach((socket) => socket.destroy());
    server?.close();
    await harness.stop();
  });

  /** Starts an endpoint that calls `answer` with each request's head. */
  async function startEndpoint(
    answer: (socket: Socket, target: string) => void,
  ): Promise<void> {
    server = createServer((socket) => {
      const reader = new UploadReader();
      readers.push(reader);
      sockets.push(socket);
      socket.on("error", () => socket.destroy());
      socket.on("data", (chunk) => {
        for (const target of reader.read(chunk)) {
          answer(socket, target);
        }
      });
    });
    server.listen(0, LOOPBACK_HOST);
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    harness.feed.put("endpoints", "e1", buildEndpoint("e1", { port }));
  }

  async function startRouter(repeatability: Repeatability): Promise<Router> {
    const { limits } = buildConfiguration();
    harness.applyConfiguration({
      routes: [buildRoute({ repeatability, timeoutMilliseconds: 1_000 })],
      limits: { ...limits, bodyBytes: MAX_UPLOAD_BYTES },
    });
    return await harness.startReadyRouter();
  }

  /** Sends two uploads at once on one connection and returns all answers. */
  async function sendPipelined(
    { settings }: Router,
    bytes: number,
  ): Promise<string> {
    const socket = connect(settings.callers.port, LOOPBACK_HOST);
    let answers = "";
    socket.on("data", (chunk) => answers += chunk.toString("latin1"));
    socket.on("error", () => socket.destroy());
    for (const target of ["/a/bad", "/a/good"]) {
      const connection = target === "/a/good" ? "connection: close\r\n" : "";
      socket.write(
        `POST ${target} HTTP/1.1\r\nhost: one.example\r\nx-key: key-1\r\n` +
          `x-request: r1\r\n${connection}content-length: ${bytes}\r\n\r\n`,
      );
      socket.write(Buffer.alloc(bytes, "x"));
    }
    await once(socket, "close");
    return answers;
  }

  function sendWhole(socket: Socket, body: string): void {
    socket.write(
      `HTTP/1.1 200 OK\r\n${SEALED}content-length: ${body.length}\r\n\r\n${body}`,
    );
  }

  for (const repeatability of KINDS) {
    for (const bytes of [SMALL, LARGE]) {
      for (const delay of [0, 5, 60]) {
        // An endpoint that has read a small request may end its answer by closing.
        const ends = bytes === SMALL ? ["reset"] : ["reset", "closed"];
        for (const end of ends) {
          it(`gives no part for a whole answer: ${repeatability}, ${bytes} bytes, ${end} after ${delay} ms`, async () => {
            await startEndpoint((socket) => {
              socket.pause();
              socket.write(`HTTP/1.1 200 OK\r\n${SEALED}\r\n${EVENT}id: 2\n`);
              setTimeout(() => {
                if (end === "reset") {
                  socket.resetAndDestroy();
                } else {
                  socket.destroy();
                }
              }, delay);
            });
            const router = await startRouter(repeatability);
            const body = "x".repeat(bytes);
            const result = await harness.send(router, { body });
            expect(result.status === 200 && result.isComplete).to.equal(false);
            expect(NOT_RUN_STATUSES).to.not.include(result.status);
          });
        }
      }
    }

    it(`gives no part for a whole answer to a pipelined caller, or on a reused connection: ${repeatability}`, async () => {
      await startEndpoint((socket, target) => {
        if (target === "/a/good") {
          sendWhole(socket, EVENT);
          return;
        }
        socket.pause();
        socket.write(`HTTP/1.1 200 OK\r\n${SEALED}\r\n${EVENT}id: 2\n`);
        setTimeout(() => socket.resetAndDestroy(), 5);
      });
      const router = await startRouter(repeatability);
      const good = await harness.send(router, { path: "/a/good", body: "x" });
      expect(good).to.deep.include({ status: 200, body: EVENT });
      const answers = await sendPipelined(router, LARGE);
      const first = answers.split("HTTP/1.1 ")[1] ?? "";
      if (first.startsWith("200")) {
        // A stream whose connection ends without its last chunk.
        expect(first).to.not.include("\r\n0\r\n\r\n");
        expect(answers.split("HTTP/1.1 ")).to.have.lengthOf(2);
      } else {
        expect(first).to.match(/^502/);
        expect(answers).to.include("HTTP/1.1 200");
      }
    });

    for (const [fault, answer] of Object.entries(INVALID_ANSWERS)) {
      it(`gives no answer with ${fault}: ${repeatability}`, async () => {
        await startEndpoint((socket, target) => {
          if (target === "/a/good") {
            sendWhole(socket, EVENT);
          } else {
            socket.write(answer, "latin1");
          }
        });
        const router = await startRouter(repeatability);
        for (const bytes of [SMALL, LARGE]) {
          const body = "x".repeat(bytes);
          const result = await harness.send(router, { body });
          expect(result.status).to.be.oneOf([502, 504]);
          expect(result.body).to.not.include(EVENT);
        }
        const answers = await sendPipelined(router, SMALL);
        expect(answers).to.match(/^HTTP\/1\.1 50[24] /);
        expect(answers).to.include("HTTP/1.1 200 ");
      });
    }

    it(`gets the rest of an upload on a connection that is used again: ${repeatability}`, async () => {
      await startEndpoint((socket) => {
        sendWhole(socket, EVENT);
        socket.pause();
        setTimeout(() => socket.resume(), 30);
      });
      const router = await startRouter(repeatability);
      const body = "x".repeat(LARGE);
      for (let upload = 0; upload < 4; upload++) {
        const result = await harness.send(router, { body });
        expect(result).to.deep.include({ status: 200, body: EVENT });
      }
      const countUploads = () =>
        readers.reduce((sum, { uploads }) => sum + uploads.length, 0);
      await waitUntil(() => countUploads() === 4);
      for (const { uploads, garbage } of readers) {
        expect(garbage).to.equal("");
        expect(uploads.every(({ bytes }) => bytes === LARGE)).to.equal(true);
      }
    });
  }
});

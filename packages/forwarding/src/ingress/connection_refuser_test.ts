import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Server } from "node:net";
import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import { sendConnectionRefusal } from "./connection_refuser.ts";

const HEAD = "POST /a/x HTTP/1.1\r\nHost: one.example\r\n" +
  "Content-Length: 400000\r\n\r\n";
const BODY = "x".repeat(400_000);
/** With a margin over the time that a refused connection may stay open. */
const MAX_OPEN_MILLISECONDS = 5_000;
const ENDLESS_HEAD_BYTES = 400_000;

let server: Server;

interface Refusal {
  text: string;
  isReset: boolean;
}

/** Sends pieces with pauses between them and reads until the end. */
async function sendPieces(pieces: readonly string[]): Promise<Refusal> {
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, "127.0.0.1");
  const refusal: Refusal = { text: "", isReset: false };
  socket.on("data", (chunk) => refusal.text += chunk.toString());
  socket.on("error", () => refusal.isReset = true);
  const closed = once(socket, "close").catch(() => {});
  await once(socket, "connect");
  for (const piece of pieces) {
    socket.write(piece);
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  await closed;
  return refusal;
}

describe("sendConnectionRefusal", () => {
  beforeEach(async () => {
    const options = { allowHalfOpen: true };
    server = createServer(options, (socket) => sendConnectionRefusal(socket));
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
  });

  afterEach(() => server.close());

  it("answers a request with a long body completely and closes the connection", async () => {
    const { text, isReset } = await sendPieces([HEAD + BODY]);
    expect(text).to.match(/^HTTP\/1.1 503 /);
    expect(text).to.match(/retry-after: 0\.05\r\nconnection: close\r\n/);
    const [head, body] = text.split("\r\n\r\n") as [string, string];
    expect(head).to.contain(`content-length: ${body.length}`);
    expect(isReset).to.equal(false);
  });

  it("answers once, when the head is complete", async () => {
    const split = HEAD.length - 3;
    const { text } = await sendPieces([
      HEAD.slice(0, split),
      HEAD.slice(split),
      HEAD,
    ]);
    expect(text.match(/503/g)).to.have.length(1);
  });

  it("sends no body in answer to a request for a head", async () => {
    const { text } = await sendPieces(["HEAD /a/x HTTP/1.1\r\n\r\n"]);
    expect(text).to.match(/^HTTP\/1.1 503 /);
    expect(text.endsWith("\r\n\r\n")).to.equal(true);
  });

  it("answers nothing to a caller that sends no request", async () => {
    const { text } = await sendPieces(["POST /a/x HTTP/1.1\r\n"]);
    expect(text).to.equal("");
  });

  it("disconnects a caller whose body does not end", async () => {
    const { port } = server.address() as AddressInfo;
    const options = { port, host: "127.0.0.1", allowHalfOpen: true };
    const socket = connect(options, () => socket.write(HEAD));
    socket.resume();
    socket.on("error", () => {});
    const body = setInterval(() => socket.write("x"), 100);
    const isClosed = await Promise.race([
      new Promise((resolve) => socket.once("close", () => resolve(true))),
      new Promise((resolve) =>
        setTimeout(() => resolve(false), MAX_OPEN_MILLISECONDS)
      ),
    ]);
    clearInterval(body);
    socket.destroy();
    expect(isClosed).to.equal(true);
  }).timeout(MAX_OPEN_MILLISECONDS * 2);

  it("disconnects a caller whose head does not end", async () => {
    const { text } = await sendPieces(["x".repeat(ENDLESS_HEAD_BYTES)]);
    expect(text).to.equal("");
  });
});

import { Buffer } from "node:buffer";
import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import { FramedSocket } from "./framed_socket.ts";

const FRAME_BYTES = 256 * 1024;
const WRITES = 60;

interface Connection {
  server: Server;
  writer: Socket;
  reader: Socket;
}

async function createConnection(): Promise<Connection> {
  const server = createServer();
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const address = server.address();
  const port = typeof address === "object" ? address?.port ?? 0 : 0;
  const accepted = once(server, "connection");
  const writer = connect(port, "127.0.0.1");
  await once(writer, "connect");
  const [reader] = await accepted as [Socket];
  reader.pause();
  return { server, writer, reader };
}

describe("FramedSocket", () => {
  let connection: Connection;

  beforeEach(async () => {
    connection = await createConnection();
  });

  afterEach(() => {
    connection.writer.destroy();
    connection.reader.destroy();
    connection.server.close();
  });

  it("waits for a peer that does not read with one listener for all writes", async () => {
    const { writer, reader } = connection;
    const socket = new FramedSocket(writer, FRAME_BYTES);
    const payload = Buffer.alloc(FRAME_BYTES - 16);
    const writes: Promise<void>[] = [];
    for (let write = 0; write < WRITES; write++) {
      writes.push(socket.write(payload));
    }
    await new Promise((resolve) => setImmediate(resolve));
    expect(socket.pendingBytes).to.be.greaterThan(0);
    expect(writer.listenerCount("drain")).to.be.at.most(1);
    reader.resume();
    await Promise.all(writes);
    expect(socket.pendingBytes).to.equal(0);
    expect(writer.listenerCount("drain")).to.equal(0);
  });

  it("ends all waiting writes when the connection closes", async () => {
    const { writer } = connection;
    const socket = new FramedSocket(writer, FRAME_BYTES);
    const payload = Buffer.alloc(FRAME_BYTES - 16);
    const writes = Array.from({ length: WRITES }, () => socket.write(payload));
    const results = Promise.allSettled(writes);
    await new Promise((resolve) => setImmediate(resolve));
    socket.close();
    const failed = (await results).filter(({ status }) =>
      status === "rejected"
    );
    expect(failed).to.not.have.lengthOf(0);
  });
});

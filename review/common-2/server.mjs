/**
 * Stand-in of a server: HTTP/1.1 over plain sockets, one request at a time on a
 * connection. It tells the process that started it, if there is one, what it
 * gets and runs.
 */

import { createServer } from "node:net";

/** Counts the answers of this process, to seal each of them. */
let answers = 0;

export class ServerStandIn {
  /** Requests that it runs now. */
  running = 0;
  connections = new Set();

  /** `serve` handles a request that expects this instance. */
  constructor({ id, slots, serve, report = () => {} }) {
    Object.assign(this, { id, slots, serve, report });
    this.server = createServer((socket) => this.#accept(socket));
  }

  async listen(host, port = 0) {
    await new Promise((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(port, host, resolve);
    });
    return this.server.address().port;
  }

  #accept(socket) {
    socket.setNoDelay(true);
    this.connections.add(socket);
    socket.on("error", () => socket.destroy());
    socket.on("close", () => this.connections.delete(socket));
    const connection = { socket, isClosed: false, before: "" };
    socket.on("close", () => connection.isClosed = true);
    let received = Buffer.alloc(0);
    let isBusy = false;
    const proceed = async () => {
      if (isBusy) {
        return;
      }
      const request = parseRequest(received);
      if (request === undefined) {
        return;
      }
      received = received.subarray(request.length);
      isBusy = true;
      await this.#handle(request, connection);
      isBusy = false;
      void proceed();
    };
    socket.on("data", (chunk) => {
      received = Buffer.concat([received, chunk]);
      void proceed();
    });
  }

  async #handle(request, connection) {
    const { headers, target } = request;
    const attempt = headers["attempt-id"] ?? "";
    if (connection.before !== "") {
      // An extra answer that arrives late, where the next one is expected.
      this.report("extra answer", { before: attempt, server: this.id });
      connection.socket.write(connection.before);
      connection.before = "";
    }
    if (target === "/healthz") {
      this.write(connection, 200, { "Instance-Id": this.id }, "ok\n");
      return;
    }
    const expected = headers["expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      this.report("rejected", { attempt, server: this.id, expected });
      await this.reject(request, connection);
      return;
    }
    this.report("run", { attempt, server: this.id, target });
    this.running++;
    try {
      await this.serve(this, request, connection);
    } finally {
      this.running--;
    }
  }

  /** Answers 421: the request is for another server. */
  reject({ headers }, connection) {
    this.write(connection, 421, {
      "Instance-Id": this.id,
      "Attempt-Id": headers["attempt-id"] ?? "",
    }, "");
  }

  /** Builds a seal, which differs in each answer. */
  buildSeal() {
    return `${this.id}.${++answers}`;
  }

  /** Writes a whole answer with a length; returns its bytes. */
  write({ socket, isClosed }, status, fields, body) {
    const load = `${this.running},0,${this.slots}`;
    const head = Object.entries({
      "Content-Length": Buffer.byteLength(body),
      "Server-Load": load,
      ...fields,
    }).map(([name, value]) => `${name}: ${value}\r\n`).join("");
    const text = `HTTP/1.1 ${status} Status\r\n${head}\r\n${body}`;
    if (!isClosed) {
      socket.write(text);
    }
    return text;
  }
}

function parseRequest(bytes) {
  const headEnd = bytes.indexOf("\r\n\r\n");
  if (headEnd < 0) {
    return undefined;
  }
  const [line, ...fields] = bytes.subarray(0, headEnd).toString("latin1")
    .split("\r\n");
  const [method, target] = line.split(" ");
  const headers = Object.fromEntries(fields.map((field) => {
    const colon = field.indexOf(":");
    return [
      field.slice(0, colon).toLowerCase(),
      field.slice(colon + 1).trim(),
    ];
  }));
  const bodyLength = Number(headers["content-length"] ?? 0);
  const length = headEnd + 4 + bodyLength;
  return bytes.length < length
    ? undefined
    : { method, target, headers, length };
}

/** Stand-in of a server of the users' services. */

import { createServer } from "node:http";
import { randomBytes } from "node:crypto";

/**
 * Answers requests that name its id and registers in the store. `answer` writes
 * the answer of a request that runs; `runs` lists what has run.
 */
export class Server {
  id = `i-${randomBytes(4).toString("hex")}`;
  runs = [];
  #options;
  #http;
  #address;
  #born = Date.now();
  #calls = 0;
  #timer;
  #sockets = new Set();

  constructor(options) {
    this.#options = options;
    this.#http = createServer((request, response) =>
      this.#handle(request, response)
    );
    this.#http.keepAliveTimeout = 20_000;
    this.#http.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("error", () => socket.destroy());
      socket.once("close", () => this.#sockets.delete(socket));
    });
  }

  get name() {
    return this.#options.name;
  }

  get address() {
    return this.#address;
  }

  /** Starts at a free port, or at one that an earlier server had. */
  async start(host, ownPort = 0) {
    await new Promise((resolve) => this.#http.listen(ownPort, host, resolve));
    const { address, port } = this.#http.address();
    this.#address = `${address}:${port}`;
    this.beat();
    this.#timer = setInterval(() => this.beat(), 1_200);
  }

  /** Writes this server's entry, as servers do every `heartbeat_ms`. */
  beat(phase = "up") {
    const { store, service, zone, slots } = this.#options;
    store.write("servers", this.id, {
      service,
      address: this.#address,
      az: zone,
      version: "v1",
      slot_count: slots,
      phase,
      cold_left_ms: 0,
      call_seq: ++this.#calls,
      born: this.#born,
    });
  }

  /** Ends as a crash does: connections are reset, nothing is announced. */
  crash() {
    clearInterval(this.#timer);
    for (const socket of this.#sockets) {
      socket.resetAndDestroy();
    }
    this.#http.close();
  }

  close() {
    clearInterval(this.#timer);
    for (const socket of this.#sockets) {
      socket.destroy();
    }
    this.#http.close();
  }

  async #handle(request, response) {
    if (request.url === "/healthz") {
      response.writeHead(200, { "instance-id": this.id });
      response.end("ok");
      return;
    }
    const chunks = [];
    try {
      for await (const chunk of request) {
        chunks.push(chunk);
      }
    } catch {
      return;
    }
    const expected = request.headers["expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "instance-id": this.id });
      response.end();
      return;
    }
    this.#options.writeExtra?.({ request, response });
    if (this.#options.isFull?.()) {
      this.#options.refuse({ request, response });
      return;
    }
    const attempt = request.headers["attempt-id"];
    const run = { attempt, server: this.name, at: Date.now(), request };
    this.runs.push(run);
    this.#options.answer({
      request,
      response,
      body: Buffer.concat(chunks),
      headers: { "attempt-id": attempt, "server-seal": `seal.${attempt}` },
      run,
    });
  }
}

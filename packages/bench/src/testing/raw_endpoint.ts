/** An endpoint that answers each request with bytes of a test's choice. */

import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";

const HEAD_END = "\r\n\r\n";

/** An answer as it is sent. */
export interface RawAnswer {
  /** ATTEMPT stands for the id of the attempt. */
  bytes: string;
  /**
   * When the connection is reset, after the bytes. Without it the connection is
   * closed in the ordinary way.
   */
  resetAfterMilliseconds?: number;
}

/** Answers as soon as the head of a request has arrived. */
export class RawEndpoint {
  readonly url: string;
  /** What the endpoint answers from now on; a load report is left out. */
  answer: RawAnswer = { bytes: "" };
  /** How many requests were answered with it. */
  requests = 0;
  readonly #sockets = new Set<Socket>();

  private constructor(port: number) {
    this.url = `http://127.0.0.1:${port}`;
  }

  /** Starts an endpoint that closes when the signal aborts. */
  static async start(signal: AbortSignal): Promise<RawEndpoint> {
    const server = createServer((socket) => endpoint.#handle(socket));
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const endpoint = new RawEndpoint((server.address() as AddressInfo).port);
    signal.addEventListener("abort", () => {
      server.close();
      endpoint.#sockets.forEach((socket) => socket.destroy());
    });
    return endpoint;
  }

  #handle(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on("close", () => this.#sockets.delete(socket));
    socket.on("error", () => socket.destroy());
    let head = "";
    socket.on("data", (chunk) => {
      head += chunk.toString("latin1");
      const end = head.indexOf(HEAD_END);
      if (end === -1) {
        return;
      }
      const complete = head.slice(0, end);
      head = "";
      if (/^GET \S*\/load /.test(complete)) {
        socket.write(formatLoadReport());
        return;
      }
      this.#sendAnswer(socket, complete);
    });
  }

  #sendAnswer(socket: Socket, head: string): void {
    const { bytes, resetAfterMilliseconds } = this.answer;
    const attempt = /x-attempt-id: (\S+)/i.exec(head)?.[1] ?? "";
    this.requests++;
    const answer = bytes.replace("ATTEMPT", attempt);
    if (resetAfterMilliseconds === undefined) {
      socket.end(answer, "latin1");
      return;
    }
    socket.pause();
    socket.write(answer, "latin1");
    setTimeout(() => socket.resetAndDestroy(), resetAfterMilliseconds);
  }
}

function formatLoadReport(): string {
  const body = JSON.stringify({
    bootId: "b1",
    uptimeMilliseconds: 60_000,
    running: 0,
    waiting: 0,
    slots: 16,
    ageMilliseconds: 0,
  });
  return `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

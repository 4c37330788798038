/** Small HTTP servers with scripted faults, for the tests beside. */

import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

/** Answers one request of a test's server. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** A server on the loopback address. */
export interface FaultServer {
  url: string;
  /** Every request that reached the server. */
  requests: IncomingMessage[];
  /** Resolves when the server has seen this many requests. */
  waitForRequests(count: number): Promise<void>;
  close(): Promise<void>;
}

/** Starts a server; the last handler answers all further requests. */
export async function startFaultServer(
  ...handlers: RequestHandler[]
): Promise<FaultServer> {
  return await startServer(handlers, (request, answer) => {
    request.resume();
    request.on("end", answer);
  });
}

/** Starts a server that answers without reading the body of a request. */
export async function startEarlyServer(
  ...handlers: RequestHandler[]
): Promise<FaultServer> {
  return await startServer(handlers, (_request, answer) => answer());
}

async function startServer(
  handlers: RequestHandler[],
  receive: (request: IncomingMessage, answer: () => void) => void,
): Promise<FaultServer> {
  const requests: IncomingMessage[] = [];
  const server = createServer((request, response) => {
    const handler = handlers[Math.min(requests.length, handlers.length - 1)];
    requests.push(request);
    receive(request, () => handler?.(request, response));
    server.emit("counted");
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    requests,
    async waitForRequests(count) {
      while (requests.length < count) {
        await once(server, "counted");
      }
    },
    async close() {
      server.closeAllConnections();
      server.close();
      await once(server, "close");
    },
  };
}

/** A URL at which nothing listens. */
export async function findClosedUrl(): Promise<string> {
  const server = await startFaultServer();
  await server.close();
  return server.url;
}

/** Answers with a status, JSON text and headers. */
export function createAnswer(
  status: number,
  body: string,
  headers: Record<string, string> = {},
): RequestHandler {
  return (_request, response) => {
    response.writeHead(status, headers);
    response.end(body);
  };
}

/** Resets the connection before any answer. */
export const resetBeforeHeaders: RequestHandler = (request) => {
  request.socket.resetAndDestroy();
};

/** Sends the head and a part of the body, then resets the connection. */
export function createResetMidBody(
  headers: Record<string, string> = {},
): RequestHandler {
  return (request, response) => {
    response.writeHead(200, headers);
    response.write('{"part', () => request.socket.resetAndDestroy());
  };
}

/** Ends a chunked answer without its last chunk. */
export function createCutChunked(
  headers: Record<string, string> = {},
): RequestHandler {
  return (request, response) => {
    response.writeHead(200, { connection: "close", ...headers });
    response.write('{"part', () => request.socket.end());
  };
}

/** How a raw answer leaves its connection. */
export enum RawEnd {
  Open = "open",
  /** Closed in the ordinary way. */
  Closed = "closed",
  Reset = "reset",
}

/** Sends bytes as they are, then ends the connection as told. */
export function createRawAnswer(
  bytes: string,
  options: { end?: RawEnd; delayMilliseconds?: number } = {},
): RequestHandler {
  const { end = RawEnd.Open, delayMilliseconds = 0 } = options;
  return ({ socket }) => {
    socket.write(bytes, "latin1");
    if (end === RawEnd.Closed) {
      setTimeout(() => socket.end(), delayMilliseconds);
    } else if (end === RawEnd.Reset) {
      setTimeout(() => socket.resetAndDestroy(), delayMilliseconds);
    }
  };
}

/** Never answers. */
export const neverAnswer: RequestHandler = () => {};

/** Limits the requests that one connection sends without waiting for answers. */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { Deferred } from "@rattanvane/base";
import {
  type CallerMemory,
  type CallerShare,
  HeldKind,
} from "./caller_memory.ts";

/** Requests behind the first one of a connection that are begun. */
const MAX_BEGUN = 4;
/** With more requests that wait to be begun, a connection is closed. */
const MAX_WAITING = 128;
/** What a waiting request takes. */
const REQUEST_BYTES = 8 * 1024;

/** The requests of a connection that are behind another one. */
interface ConnectionQueue {
  begun: number;
  /** Each resolves to whether the request may begin. */
  waiting: Deferred<boolean>[];
  share: CallerShare;
}

/**
 * Begins a few requests of a connection at a time, and the next one when one of
 * them was answered. The connection is not read on while requests wait, which
 * leaves those that were read together with the first one.
 *
 * Load: many requests on a connection whose answers are not read.
 */
export class RequestTurns {
  readonly #memory: CallerMemory;
  readonly #queues = new Map<Socket, ConnectionQueue>();

  /** The memory counts the requests that wait. */
  constructor(memory: CallerMemory) {
    this.#memory = memory;
  }

  /**
   * Resolves when a request that is behind another one may begin; false if its
   * connection has closed.
   */
  async wait(
    { socket }: IncomingMessage,
    response: ServerResponse,
  ): Promise<boolean> {
    if (socket.destroyed) {
      return false;
    }
    const queue = this.#findOrCreateQueue(socket);
    if (queue.begun >= MAX_BEGUN && !await this.#waitInQueue(socket, queue)) {
      return false;
    }
    queue.begun++;
    waitForClose(response, () => {
      queue.begun--;
      queue.waiting.shift()?.resolve(true);
    });
    return true;
  }

  async #waitInQueue(
    socket: Socket,
    queue: ConnectionQueue,
  ): Promise<boolean> {
    const turn = new Deferred<boolean>();
    queue.waiting.push(turn);
    this.#updateShare(queue);
    socket.pause();
    if (queue.waiting.length > MAX_WAITING) {
      socket.destroy();
    }
    const mayBegin = await turn.promise;
    this.#updateShare(queue);
    if (queue.waiting.length === 0) {
      socket.resume();
    }
    return mayBegin;
  }

  #findOrCreateQueue(socket: Socket): ConnectionQueue {
    const existing = this.#queues.get(socket);
    if (existing !== undefined) {
      return existing;
    }
    const share = this.#memory.createShare(() => socket.remoteAddress);
    share.release = () => socket.resetAndDestroy();
    const queue: ConnectionQueue = { begun: 0, waiting: [], share };
    this.#queues.set(socket, queue);
    // Node.js goes on reading when it has read a request to its end.
    socket.on("resume", () => queue.waiting.length > 0 && socket.pause());
    socket.once("close", () => {
      this.#queues.delete(socket);
      share.close();
      queue.waiting.splice(0).forEach((turn) => turn.resolve(false));
    });
    return queue;
  }

  #updateShare({ share, waiting }: ConnectionQueue): void {
    share.update(HeldKind.Body, waiting.length * REQUEST_BYTES);
  }
}

/**
 * Calls back when a response has ended, or its connection. Node.js does not tell
 * a response that waits behind another one of the end of their connection.
 */
export function waitForClose(
  response: ServerResponse,
  callback: () => void,
): void {
  if (response.socket !== null) {
    response.once("close", callback);
    return;
  }
  const { socket } = response.req;
  const finish = () => {
    socket.off("close", finish);
    response.off("close", finish);
    callback();
  };
  socket.setMaxListeners(0);
  socket.once("close", finish);
  response.once("close", finish);
}

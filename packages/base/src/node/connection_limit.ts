/** Limits the open connections of a listener. */

import type { Socket } from "node:net";

/**
 * Keeps the connections of a listener within a limit: one more closes the one
 * that was added first, so that idle connections do not keep others out.
 *
 * Load: more connections than a machine has descriptors for, on which nothing
 * is sent.
 */
export class ConnectionLimit {
  readonly #maxConnections: number;
  /** The oldest first. */
  readonly #sockets = new Set<Socket>();

  constructor(maxConnections: number) {
    this.#maxConnections = maxConnections;
  }

  /** Adds a connection, as the newest one; it is removed when it closes. */
  add(socket: Socket): void {
    if (!this.#sockets.delete(socket)) {
      socket.once("close", () => this.#sockets.delete(socket));
    }
    this.#sockets.add(socket);
    const [oldest] = this.#sockets;
    if (this.#sockets.size > this.#maxConnections && oldest !== undefined) {
      this.#sockets.delete(oldest);
      oldest.destroy();
    }
  }

  /** Removes a connection from the limit; it stays open. */
  remove(socket: Socket): void {
    this.#sockets.delete(socket);
  }
}

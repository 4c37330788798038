/** Tells a server that closes a connection from one whose process has ended. */

import type { Socket } from "node:net";
import { type Clock, SystemClock } from "@rattanvane/base";
import type { buildConnector } from "undici";

/** The kernel closes all connections of a process within a few milliseconds. */
const SETTLE_MILLISECONDS = 30;

/** The server and how to connect to it. */
export interface OpenConnectionsOptions {
  origin: string;
  connect: buildConnector.connector;
  signal: AbortSignal;
}

/** The open connections of a pool to its server. */
export class OpenConnections {
  readonly #options: OpenConnectionsOptions;
  /** The kernel's time, whatever clock the calls are measured with. */
  readonly #clock: Clock = new SystemClock();
  readonly #open = new Set<Socket>();

  constructor(options: OpenConnectionsOptions) {
    this.#options = options;
  }

  /** Adds an open connection; it is removed when it closes. */
  add(socket: Socket): void {
    this.#open.add(socket);
    socket.once("close", () => this.#open.delete(socket));
  }

  /**
   * Called when the server has ended a connection. Resolves with why its process
   * seems to have ended, or with undefined if another connection to it is still
   * open or it accepts a new one.
   */
  async findEndOfProcess(): Promise<string | undefined> {
    const { signal } = this.#options;
    await this.#clock.sleep(SETTLE_MILLISECONDS, signal);
    // After this VM was busy, timers run before the ends that have arrived.
    await new Promise((resolve) => setImmediate(resolve));
    if (signal.aborted) {
      return "the connections were closed";
    }
    return this.#hasOpenConnection() ? undefined : await this.#tryToConnect();
  }

  #hasOpenConnection(): boolean {
    for (const socket of this.#open) {
      if (!socket.destroyed && !socket.readableEnded) {
        return true;
      }
    }
    return false;
  }

  #tryToConnect(): Promise<string | undefined> {
    const { origin, connect } = this.#options;
    const { hostname, host, protocol, port } = new URL(origin);
    return new Promise((resolve) => {
      connect(
        { hostname: hostname.replace(/^\[|\]$/g, ""), host, protocol, port },
        (...[error, socket]) => {
          socket?.on("error", () => {}).destroy();
          resolve(error?.message);
        },
      );
    });
  }
}

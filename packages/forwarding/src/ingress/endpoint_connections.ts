/** Tells an endpoint that closes a connection from one whose process has ended. */

import { connect, type Socket } from "node:net";
import type { Clock } from "@rattanvane/base";

/** The kernel closes all connections of a process within a few milliseconds. */
const SETTLE_MILLISECONDS = 30;
const CONNECT_TIMEOUT_MILLISECONDS = 400;

/** Dependencies of {@link EndpointConnections}. */
export interface EndpointConnectionsOptions {
  clock: Clock;
  /** The local IP address to connect from. */
  localAddress: string;
  signal: AbortSignal;
}

/** The open connections of this VM to each endpoint. */
export class EndpointConnections {
  readonly #options: EndpointConnectionsOptions;
  readonly #open = new Map<string, Set<Socket>>();

  constructor(options: EndpointConnectionsOptions) {
    this.#options = options;
  }

  /** Adds an open connection; it is removed when it closes. */
  add(address: string, socket: Socket): void {
    const sockets = this.#open.get(address) ?? new Set<Socket>();
    this.#open.set(address, sockets);
    sockets.add(socket);
    socket.once("close", () => {
      sockets.delete(socket);
      if (sockets.size === 0) {
        this.#open.delete(address);
      }
    });
  }

  /**
   * Called when an endpoint has ended a connection. Resolves with why its
   * process seems to have ended, or with undefined if another connection to it
   * is still open or it accepts a new one.
   */
  async findEndOfProcess(address: string): Promise<string | undefined> {
    const { clock, signal } = this.#options;
    await clock.sleep(SETTLE_MILLISECONDS, signal);
    // After this VM was busy, timers run before the ends that have arrived.
    await new Promise((resolve) => setImmediate(resolve));
    return this.#hasOpenConnection(address)
      ? undefined
      : await this.#tryToConnect(address);
  }

  #hasOpenConnection(address: string): boolean {
    for (const socket of this.#open.get(address) ?? []) {
      if (!socket.destroyed && !socket.readableEnded) {
        return true;
      }
    }
    return false;
  }

  #tryToConnect(address: string): Promise<string | undefined> {
    const { localAddress, signal } = this.#options;
    const { hostname, port } = new URL(`http://${address}`);
    const socket = connect({
      host: hostname,
      port: Number(port),
      localAddress,
      timeout: CONNECT_TIMEOUT_MILLISECONDS,
      signal,
    });
    return new Promise((resolve) => {
      socket.once("connect", () => resolve(undefined));
      socket.once("timeout", () => resolve("the connection timed out"));
      socket.on("error", ({ message }) => resolve(message));
    }).finally(() => socket.destroy()) as Promise<string | undefined>;
  }
}

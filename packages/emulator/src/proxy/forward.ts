/** A listening port whose connections are passed on to one target. */

import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import type { Clock } from "@rattanvane/base";
import { Blackhole, Direction, type Link } from "./link.ts";
import { type ForwardedConnection, runPipe } from "./pipe.ts";

const PORT_RETRY_MILLISECONDS = 20;

/** Where connections come in and where they go. */
export interface ForwardOptions {
  clock: Clock;
  listenHost: string;
  targetHost: string;
  targetPort: number;
  /** The link of sources that are not listed. */
  link: Link;
  /** The links of sources by their IP number. */
  linksBySource: ReadonlyMap<string, Link>;
}

/** Passes connections on over the link that their source belongs to. */
export class Forward {
  readonly #options: ForwardOptions;
  readonly #signal: AbortSignal;
  readonly #connections = new Set<ForwardedConnection>();
  #port = 0;
  #server: Server | undefined;
  #opening = false;

  constructor(options: ForwardOptions, signal: AbortSignal) {
    this.#options = options;
    this.#signal = signal;
    for (const link of this.#links()) {
      link.changed.listen(() => this.#follow(link), signal);
    }
    signal.addEventListener("abort", () => this.#close(() => true), {
      once: true,
    });
  }

  get port(): number {
    return this.#port;
  }

  /** Opens the port; waits while another process holds it. */
  async listen(): Promise<void> {
    this.#opening = true;
    while (!this.#signal.aborted && this.#server === undefined) {
      if (this.#isCutOff()) {
        break;
      }
      const server = createServer(
        { allowHalfOpen: true },
        (socket) => this.#accept(socket),
      );
      if (await this.#open(server)) {
        this.#server = server;
        this.#port = (server.address() as AddressInfo).port;
        break;
      }
      await this.#options.clock.sleep(PORT_RETRY_MILLISECONDS, this.#signal);
    }
    this.#opening = false;
    if (this.#isCutOff() || this.#signal.aborted) {
      this.#server?.close();
      this.#server = undefined;
    }
  }

  /** Applies a change of a link's faults to this port. */
  #follow(link: Link): void {
    const { cut, blackhole } = link.faults;
    this.#close((connection) =>
      connection.link === link &&
      (cut || (connection.hasGap && blackhole === Blackhole.None))
    );
    if (this.#isCutOff()) {
      // With no way in left, a closed port refuses connections outright.
      this.#server?.close();
      this.#server = undefined;
    } else if (this.#server === undefined && !this.#opening) {
      void this.listen();
    }
  }

  #links(): Link[] {
    return [this.#options.link, ...this.#options.linksBySource.values()];
  }

  #isCutOff(): boolean {
    return this.#links().every((link) => link.faults.cut);
  }

  #open(server: Server): Promise<boolean> {
    return new Promise((resolve) => {
      server.once("error", () => resolve(false));
      server.listen(
        this.#port,
        this.#options.listenHost,
        () => resolve(true),
      );
    });
  }

  #accept(source: Socket): void {
    const { linksBySource, link: fallback } = this.#options;
    const link = linksBySource.get(source.remoteAddress ?? "") ?? fallback;
    source.on("error", () => {});
    if (link.faults.cut) {
      source.resetAndDestroy();
      return;
    }
    link.connections++;
    const target = connect({
      host: this.#options.targetHost,
      port: this.#options.targetPort,
      allowHalfOpen: true,
      noDelay: true,
    });
    source.setNoDelay(true);
    this.#join(source, target, link);
  }

  #join(source: Socket, target: Socket, link: Link): void {
    const end = new AbortController();
    const reset = () => {
      source.resetAndDestroy();
      target.resetAndDestroy();
    };
    const connection = { link, hasGap: false, reset };
    this.#connections.add(connection);
    target.on("error", reset);
    source.on("error", reset);
    const settle = () => {
      if (source.destroyed && target.destroyed) {
        end.abort();
        this.#connections.delete(connection);
      }
    };
    source.on("close", settle);
    target.on("close", settle);
    const { clock } = this.#options;
    const common = { clock, connection, signal: end.signal };
    void runPipe(source, target, {
      ...common,
      direction: Direction.ToTarget,
    });
    void runPipe(target, source, {
      ...common,
      direction: Direction.FromTarget,
    });
  }

  #close(matches: (connection: ForwardedConnection) => boolean): void {
    for (const connection of [...this.#connections]) {
      if (matches(connection)) {
        connection.reset();
      }
    }
    if (this.#signal.aborted) {
      this.#server?.close();
      this.#server = undefined;
    }
  }
}

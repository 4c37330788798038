/**
 * The bench's baseline: a router that schedules for itself. It spreads its
 * requests round robin, first come first served, and keeps to a fixed part of
 * each engine's slots, since it knows nothing of the other routers.
 */

import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { setMaxListeners } from "node:events";
import { pipeline } from "node:stream/promises";
import { Deferred } from "@rattanvane/base";
import { Agent, type Dispatcher, request } from "undici";

const BAD_GATEWAY = 502;
const ATTEMPTS = 3;

/** An engine as this router sees it. */
interface EngineSlots {
  url: string;
  free: number;
}

/** Where the router listens and what it may use. */
export interface RoundRobinOptions {
  /** Its own loopback number, also for its connections to engines. */
  host: string;
  engineUrls: readonly string[];
  /** The most requests of this router at one engine. */
  slotsEach: number;
}

/** Passes completion calls to engines. */
export class RoundRobinRouter {
  readonly #options: RoundRobinOptions;
  readonly #agent: Agent;
  readonly #server: Server;
  readonly #waiting: Deferred<EngineSlots>[] = [];
  #engines: EngineSlots[];
  #next = 0;

  constructor(options: RoundRobinOptions, signal: AbortSignal) {
    this.#options = options;
    this.#engines = this.#createSlots(options.engineUrls);
    this.#agent = new Agent({ localAddress: options.host });
    this.#server = createServer((incoming, outgoing) => {
      void this.#serve(incoming, outgoing);
    });
    setMaxListeners(0, signal);
    signal.addEventListener("abort", () => this.#stop(), { once: true });
  }

  /** Starts to listen; returns the URL. */
  async start(): Promise<string> {
    this.#server.listen(0, this.#options.host);
    await once(this.#server, "listening");
    const address = this.#server.address();
    const port = typeof address === "object" ? address?.port : undefined;
    return `http://${this.#options.host}:${port}`;
  }

  /** Uses other engines from now on, as after a drain. */
  updateEngines(engineUrls: readonly string[]): void {
    const known = new Map(this.#engines.map((each) => [each.url, each]));
    this.#engines = this.#createSlots(engineUrls)
      .map((fresh) => known.get(fresh.url) ?? fresh);
    this.#grantWaiting();
  }

  async #serve(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    try {
      const parts: Uint8Array[] = [];
      for await (const part of incoming) {
        parts.push(part as Uint8Array);
      }
      const body = Buffer.concat(parts);
      const response = await this.#sendWithRetries(incoming, body);
      outgoing.writeHead(response.answer.statusCode);
      try {
        await pipeline(response.answer.body, outgoing);
      } finally {
        this.#release(response.engine);
      }
    } catch {
      if (!outgoing.headersSent) {
        outgoing.writeHead(BAD_GATEWAY);
      }
      outgoing.destroy();
    }
  }

  async #sendWithRetries(incoming: IncomingMessage, body: Uint8Array) {
    for (let attempt = 1;; attempt++) {
      const engine = await this.#take();
      try {
        return { engine, answer: await this.#send(engine, incoming, body) };
      } catch (error) {
        this.#release(engine);
        if (attempt >= ATTEMPTS) {
          throw error;
        }
      }
    }
  }

  async #send(
    engine: EngineSlots,
    incoming: IncomingMessage,
    body: Uint8Array,
  ): Promise<Dispatcher.ResponseData> {
    return await request(`${engine.url}${incoming.url}`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body,
      dispatcher: this.#agent,
    });
  }

  async #take(): Promise<EngineSlots> {
    const engine = this.#pickFree();
    if (engine !== undefined) {
      return engine;
    }
    const place = new Deferred<EngineSlots>();
    this.#waiting.push(place);
    return await place.promise;
  }

  #release(engine: EngineSlots): void {
    engine.free++;
    this.#grantWaiting();
  }

  #grantWaiting(): void {
    while (this.#waiting.length > 0) {
      const engine = this.#pickFree();
      if (engine === undefined) {
        return;
      }
      this.#waiting.shift()?.resolve(engine);
    }
  }

  #pickFree(): EngineSlots | undefined {
    for (let tried = 0; tried < this.#engines.length; tried++) {
      const engine = this.#engines[this.#next++ % this.#engines.length];
      if (engine !== undefined && engine.free > 0) {
        engine.free--;
        return engine;
      }
    }
    return undefined;
  }

  #createSlots(engineUrls: readonly string[]): EngineSlots[] {
    return engineUrls.map((url) => ({ url, free: this.#options.slotsEach }));
  }

  #stop(): void {
    this.#server.closeAllConnections();
    this.#server.close();
    void this.#agent.destroy();
  }
}

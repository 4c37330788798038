/** An engine in the test's own process, driven by the test's clock. */

import { createSilentLogger, ManualClock } from "@rattanvane/base";
import {
  createEngineOptions,
  type EngineOptions,
} from "../engine/engine_options.ts";
import { EngineServer } from "../engine/engine_server.ts";
import {
  type AnyBody,
  type JsonAnswer,
  sendJson,
  waitUntil,
} from "./http_calls.ts";

const STEP_LIMIT = 1000;

/** A started engine and the calls that tests make to it. */
export class EngineFixture {
  readonly clock = new ManualClock();
  readonly options: EngineOptions;
  readonly #server: EngineServer;
  #attempts = 0;

  constructor(changes: Partial<EngineOptions>, signal: AbortSignal) {
    this.options = createEngineOptions({
      cacheEventLoss: 0,
      ...changes,
    });
    this.#server = new EngineServer({
      host: "127.0.0.1",
      port: 0,
      clock: this.clock,
      logger: createSilentLogger(),
      engine: this.options,
    }, signal);
  }

  get url(): string {
    return `http://127.0.0.1:${this.#server.port}`;
  }

  get adminUrl(): string {
    return `http://127.0.0.1:${this.#server.adminPort}/admin`;
  }

  async start(): Promise<void> {
    await this.#server.start();
  }

  /** The engine's counters. */
  async counters(): Promise<Record<string, number>> {
    const url = `${this.adminUrl}/counters`;
    return (await sendJson<Record<string, number>>(url)).body;
  }

  /** Switches faults on. */
  async setFaults(faults: object): Promise<JsonAnswer<AnyBody>> {
    return await sendJson(`${this.adminUrl}/faults`, { body: faults });
  }

  /** Sends a completion and returns once the engine has admitted it. */
  async submit(
    body: { prompt: string } & Record<string, unknown>,
  ): Promise<{ attempt: string; response: Promise<Response> }> {
    this.#attempts++;
    const attempt = `attempt-${this.#attempts}`;
    const before = await this.counters();
    const response = fetch(`${this.url}/v1/completions`, {
      method: "POST",
      headers: { "x-attempt-id": attempt },
      body: JSON.stringify({ model: "assistant", max_tokens: 64, ...body }),
    });
    // Failures are asserted on by whoever awaits the response.
    response.catch(() => {});
    await waitUntil(async () => {
      const { started = 0, overloads = 0 } = await this.counters();
      return started + overloads >
        (before["started"] ?? 0) + (before["overloads"] ?? 0);
    });
    return { attempt, response };
  }

  /** Moves time on, step by step, until a promise is settled. */
  async advanceUntil<Value>(promise: Promise<Value>): Promise<Value> {
    let settled = false;
    const mark = () => {
      settled = true;
    };
    promise.then(mark, mark);
    for (let step = 0; step < STEP_LIMIT && !settled; step++) {
      await this.clock.advance(this.options.tokenMilliseconds);
      // Lets what was written travel over the loopback.
      await sendJson(`${this.adminUrl}/counters`);
    }
    return await promise;
  }
}

/** Starts an engine with settings that differ from a small, fast one. */
export async function startEngineFixture(
  changes: Partial<EngineOptions>,
  signal: AbortSignal,
): Promise<EngineFixture> {
  const fixture = new EngineFixture(changes, signal);
  await fixture.start();
  return fixture;
}

/** The engine's calls that generate, resume and cancel. */

import { Buffer } from "node:buffer";
import type { Clock } from "@rattanvane/base";
import { sendDoubledJson } from "../common/doubled_answer.ts";
import {
  type HeaderFields,
  type HttpExchange,
  HttpProblem,
} from "../common/http_exchange.ts";
import { readJsonFields } from "../common/json_fields.ts";
import { buildCompletion } from "./completion_format.ts";
import {
  type CompletionRequest,
  parseCompletion,
} from "./completion_request.ts";
import type { Engine } from "./engine.ts";
import type { EngineFaults } from "./engine_faults.ts";
import { Generation, GenerationState } from "./generation.ts";
import { type StreamOptions, writeStream } from "./stream_writer.ts";

const RESUMED_MODEL = "resumed";
const NEVER = 0;
const EVENT_STREAM_HEADERS = {
  "content-type": "text/event-stream",
  "cache-control": "no-store",
};

/** Handles the calls of one engine. */
export class CompletionRoutes {
  readonly #engine: Engine;
  readonly #clock: Clock;
  readonly #signal: AbortSignal;
  /** The connection that a stream is written to, by attempt. */
  readonly #attached = new Map<string, AbortController>();
  #unnamedAttempts = 0;

  constructor(engine: Engine, clock: Clock, signal: AbortSignal) {
    this.#engine = engine;
    this.#clock = clock;
    this.#signal = signal;
  }

  /** Runs a completion and writes its answer. */
  async handleCompletion(
    exchange: HttpExchange,
    options: { isChat: boolean; faults: EngineFaults },
  ): Promise<void> {
    const attempt = exchange.header("x-attempt-id") || this.#nameAttempt();
    const fields = await readJsonFields(exchange);
    const request = parseCompletion(fields, { ...options, attempt });
    if (this.#engine.find(attempt) !== undefined) {
      exchange.sendJson(409, {
        error: { message: `The attempt "${attempt}" is known already` },
      }, { ...this.#buildHeaders(attempt), "x-outcome": "not_run" });
      return;
    }
    const generation = this.#engine.submit(
      request.generation,
      request.prefixText,
    );
    if (generation === undefined) {
      exchange.cut();
      return;
    }
    const delay = options.faults.answers.pickDelayMilliseconds();
    if (delay > 0) {
      await this.#clock.sleep(delay, this.#signal);
    }
    if (request.isStream) {
      await this.#writeFirstStream(exchange, {
        generation,
        request,
        ...options,
      });
      return;
    }
    await this.#writeWhole(exchange, { generation, request, ...options });
  }

  /** Writes the events of a held stream after an offset. */
  async handleResume(
    exchange: HttpExchange,
    attempt: string,
    faults: EngineFaults,
  ): Promise<void> {
    const generation = this.#engine.find(attempt);
    const offset = Number(exchange.url.searchParams.get("offset") ?? 0);
    if (generation === undefined) {
      throw new HttpProblem(404, `The stream "${attempt}" is not held`);
    }
    if (!Number.isInteger(offset) || offset < 0) {
      throw new HttpProblem(400, "The offset must be a whole number");
    }
    await this.#writeEvents(exchange, { generation, shown: generation }, {
      model: RESUMED_MODEL,
      offset: Math.max(offset, generation.request.firstOffset),
      faults,
      cutAfterTokens: NEVER,
    });
  }

  async #writeFirstStream(
    exchange: HttpExchange,
    options: {
      generation: Generation;
      request: CompletionRequest;
      faults: EngineFaults;
    },
  ): Promise<void> {
    const { generation, request, faults } = options;
    const shown = this.#pickShown(generation, faults);
    await this.#writeEvents(exchange, { generation, shown }, {
      model: request.model,
      offset: shown.request.firstOffset,
      faults,
      cutAfterTokens: faults.cutAfterTokens,
    });
  }

  async #writeEvents(
    exchange: HttpExchange,
    stream: { generation: Generation; shown: Generation },
    options: StreamOptions,
  ): Promise<void> {
    const { generation, shown } = stream;
    const { attempt } = generation.request;
    const { response } = exchange;
    const detached = this.#attach(attempt, () => exchange.cut());
    response.on("close", () => shown.wake());
    response.writeHead(200, {
      ...EVENT_STREAM_HEADERS,
      ...this.#buildHeaders(shown.request.attempt),
    });
    response.flushHeaders();
    await writeStream(shown, response, options);
    await this.#engine.hold(attempt, detached);
    if (!detached.aborted) {
      this.#attached.delete(attempt);
    }
  }

  /** Ends the stream's former connection and the wait to forget it. */
  #attach(attempt: string, detach: () => void): AbortSignal {
    this.#attached.get(attempt)?.abort();
    const controller = new AbortController();
    controller.signal.addEventListener("abort", detach, { once: true });
    this.#attached.set(attempt, controller);
    return controller.signal;
  }

  async #writeWhole(
    exchange: HttpExchange,
    options: {
      generation: Generation;
      request: CompletionRequest;
      faults: EngineFaults;
    },
  ): Promise<void> {
    const { generation, request, faults } = options;
    const { attempt } = generation.request;
    exchange.response.on("close", () => this.#engine.cancel(attempt));
    while (generation.state === GenerationState.Running) {
      await generation.waitForProgress();
    }
    if (generation.state !== GenerationState.Completed) {
      exchange.cut();
      return;
    }
    const shown = this.#pickShown(generation, faults);
    const body = buildCompletion(shown, request.model);
    const headers = this.#buildHeaders(shown.request.attempt);
    if (faults.cutAfterTokens > 0) {
      sendHalf(exchange, body, headers);
    } else if (faults.answers.duplication.strikes()) {
      sendDoubledJson(exchange, body, headers);
    } else {
      exchange.sendJson(200, body, headers);
    }
  }

  /** The generation that is answered with: another one when answers cross. */
  #pickShown(generation: Generation, faults: EngineFaults): Generation {
    if (!faults.answers.crossing.strikes()) {
      return generation;
    }
    const others = this.#engine.list().filter((other) => other !== generation);
    return others[0] ?? createStranger(generation);
  }

  #buildHeaders(attempt: string): HeaderFields {
    return { "x-attempt-id": attempt, "x-boot-id": this.#engine.bootId };
  }

  #nameAttempt(): string {
    this.#unnamedAttempts++;
    return `unnamed-${this.#unnamedAttempts}`;
  }
}

/** A finished answer of an attempt that nobody made. */
function createStranger(generation: Generation): Generation {
  const { request } = generation;
  const stranger = new Generation({
    ...request,
    attempt: `${request.attempt}-stranger`,
    tokens: ["somebody", " else's", " answer"],
    firstOffset: 0,
  }, 0);
  while (!stranger.isWhole) {
    stranger.addToken();
  }
  stranger.finish(GenerationState.Completed);
  return stranger;
}

/** Announces the whole body, sends its first half and cuts the connection. */
function sendHalf(
  exchange: HttpExchange,
  body: object,
  headers: HeaderFields,
): void {
  const text = JSON.stringify(body);
  const { response } = exchange;
  response.writeHead(200, {
    ...headers,
    "content-type": "application/json",
    "content-length": String(Buffer.byteLength(text)),
  });
  const half = text.slice(0, Math.floor(text.length / 2));
  response.write(half);
  // What was written still reaches the wire.
  response.socket?.destroySoon();
}

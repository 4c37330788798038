/** Metrics and status endpoints for operators. */

import { Buffer } from "node:buffer";
import type { Registry } from "prom-client";
import { matchKeyHash, parseBearerKey } from "./authenticator.ts";
import { CallerError, CallerErrorKind } from "./caller_error.ts";
import { type CallerExchange, CallerHandler } from "./caller_server.ts";

const OK = 200;

/** Throws a CallerError unless the request carries an operator key. */
function checkOperatorKey(
  { request }: CallerExchange,
  hashes: readonly string[],
): void {
  const key = parseBearerKey(request.headers.authorization);
  if (!matchKeyHash(key, hashes)) {
    throw new CallerError(
      CallerErrorKind.WrongKey,
      "The key is not an operator key",
    );
  }
}

/** Returns the metrics in the Prometheus text format. */
export class MetricsHandler extends CallerHandler {
  override readonly methods = ["GET"];
  readonly #registry: Registry;
  readonly #operatorKeyHashes: readonly string[];

  constructor(registry: Registry, operatorKeyHashes: readonly string[]) {
    super();
    this.#registry = registry;
    this.#operatorKeyHashes = operatorKeyHashes;
  }

  override matches(path: string): boolean {
    return path === "/metrics";
  }

  override async handle(exchange: CallerExchange): Promise<void> {
    checkOperatorKey(exchange, this.#operatorKeyHashes);
    const text = await this.#registry.metrics();
    exchange.answer.sendBytes(OK, {
      headers: [{ name: "content-type", value: this.#registry.contentType }],
      body: Buffer.from(text),
    });
  }
}

/** Returns the state of the fleet as known to this VM. */
export class StatusHandler extends CallerHandler {
  override readonly methods = ["GET"];
  readonly #describe: () => object;
  readonly #operatorKeyHashes: readonly string[];

  constructor(describe: () => object, operatorKeyHashes: readonly string[]) {
    super();
    this.#describe = describe;
    this.#operatorKeyHashes = operatorKeyHashes;
  }

  override matches(path: string): boolean {
    return path === "/status";
  }

  override handle(exchange: CallerExchange): Promise<void> {
    checkOperatorKey(exchange, this.#operatorKeyHashes);
    exchange.answer.sendJson(OK, this.#describe());
    return Promise.resolve();
  }
}

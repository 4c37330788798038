/** HTTP handler that issues idempotency keys. */

import { type CallerExchange, CallerHandler } from "../caller/caller_server.ts";
import type { IngressContext } from "./ingress_context.ts";
import type { KeyedCallRunner } from "./keyed_call_runner.ts";

const CREATED = 201;

/** Handles POST /v1/keys. */
export class KeysHandler extends CallerHandler {
  override readonly methods = ["POST"];
  readonly #context: IngressContext;
  readonly #keyedCalls: KeyedCallRunner;

  constructor(context: IngressContext, keyed: KeyedCallRunner) {
    super();
    this.#context = context;
    this.#keyedCalls = keyed;
  }

  override matches(path: string): boolean {
    return path === "/v1/keys";
  }

  override handle(exchange: CallerExchange): Promise<void> {
    const { organisation } = this.#context.authenticate(exchange);
    const key = this.#keyedCalls.issueKey(organisation.name);
    exchange.answer.sendJson(CREATED, { key });
    return Promise.resolve();
  }
}

/** HTTP handler for calls to plain services. */

import { ServiceKind } from "@rattanvane/configuration";
import { HeaderName } from "@rattanvane/platform";
import {
  CallerError,
  CallerErrorKind,
  CallOutcome,
} from "../caller/caller_error.ts";
import { type CallerExchange, CallerHandler } from "../caller/caller_server.ts";
import {
  buildCall,
  findService,
  isRepeatable,
  parseServicePath,
} from "./call_reader.ts";
import type { IngressCall } from "./ingress_call.ts";
import type { IngressContext } from "./ingress_context.ts";
import type { KeyedCallRunner } from "./keyed_call_runner.ts";
import { type PlainAnswer, runPlainCall } from "./plain_run.ts";

/** Handles all methods of /services/NAME/... */
export class PlainHandler extends CallerHandler {
  override readonly methods = ["*"];
  readonly #context: IngressContext;
  readonly #keyedCalls: KeyedCallRunner;

  constructor(context: IngressContext, keyed: KeyedCallRunner) {
    super();
    this.#context = context;
    this.#keyedCalls = keyed;
  }

  override matches(path: string): boolean {
    return parseServicePath(path) !== undefined;
  }

  override async handle(
    exchange: CallerExchange,
    signal: AbortSignal,
  ): Promise<void> {
    const key = readKey(exchange);
    const call = await this.#readCall(exchange, { key }, signal);
    const answer = isRepeatable(call.service, call) && key === undefined
      ? await this.#runRepeatable(call, signal)
      : await this.#runKeyed(call, { key }, signal);
    exchange.answer.sendBytes(answer.status, answer);
  }

  /**
   * Reads and admits a call. When a call with a key is rejected here, the
   * outcome is unknown: the key has not been looked up yet, so earlier calls
   * with the same key may have run.
   */
  async #readCall(
    exchange: CallerExchange,
    { key }: { key: string | undefined },
    signal: AbortSignal,
  ): Promise<IngressCall> {
    try {
      return await this.#admitCall(exchange, signal);
    } catch (thrown) {
      if (key === undefined || !(thrown instanceof CallerError)) {
        throw thrown;
      }
      throw thrown.withOutcome(CallOutcome.Unknown);
    }
  }

  async #admitCall(
    exchange: CallerExchange,
    signal: AbortSignal,
  ): Promise<IngressCall> {
    const { limits, clock } = this.#context.options;
    const admitted = await this.#context.admit(exchange, signal);
    const servicePath = parseServicePath(exchange.request.url ?? "");
    const service = findService(admitted.configuration, {
      name: servicePath?.service ?? "",
      kind: ServiceKind.Plain,
      organisation: admitted.organisation,
    });
    return buildCall(exchange.request, {
      request: exchange.requestId,
      organisation: admitted.organisation,
      service,
      path: servicePath?.path ?? "/",
      body: admitted.body,
      prefix: "",
      defaultDeadlineMilliseconds: limits.defaultDeadlineMilliseconds,
      clock,
    });
  }

  async #runRepeatable(
    call: IngressCall,
    signal: AbortSignal,
  ): Promise<PlainAnswer> {
    const { environment } = this.#context.options;
    const result = await this.#context.track(
      call,
      (entry) => runPlainCall({ environment, entry, repeatable: true }, signal),
    );
    if (result.isErr()) {
      throw result.error;
    }
    return result.value;
  }

  async #runKeyed(
    call: IngressCall,
    { key }: { key: string | undefined },
    signal: AbortSignal,
  ): Promise<PlainAnswer> {
    if (key === undefined) {
      throw new CallerError(
        CallerErrorKind.IdempotencyKeyMissing,
        `"${call.method} ${call.path}" is not repeatable and requires a key`,
      );
    }
    return await this.#keyedCalls.run(call, { key }, signal);
  }
}

const KEY_PATTERN = /^[\x21-\x7e]{1,255}$/;

function readKey(exchange: CallerExchange): string | undefined {
  const key = exchange.request.headers[HeaderName.IdempotencyKey];
  if (key === undefined) {
    return undefined;
  }
  if (typeof key !== "string" || !KEY_PATTERN.test(key)) {
    throw new CallerError(
      CallerErrorKind.MalformedHeader,
      'The header "idempotency-key" must be 1 to 255 printable characters',
    );
  }
  return key;
}

/** HTTP handler for completion requests, streamed or not. */

import { ServiceKind } from "@rattanvane/configuration";
import { type CallerExchange, CallerHandler } from "../caller/caller_server.ts";
import { buildCall, findService } from "./call_reader.ts";
import type { AnswerIdentity } from "./completion_chunk.ts";
import {
  COMPLETION_PATHS,
  CompletionForm,
  type CompletionRequest,
  parseCompletionRequest,
} from "./completion_request.ts";
import { CompletionRun } from "./completion_run.ts";
import {
  type CompletionSink,
  JsonSink,
  StreamSink,
} from "./completion_sink.ts";
import type { IngressContext } from "./ingress_context.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/** Handles POST /v1/chat/completions and POST /v1/completions. */
export class CompletionHandler extends CallerHandler {
  override readonly methods = ["POST"];
  readonly #context: IngressContext;

  constructor(context: IngressContext) {
    super();
    this.#context = context;
  }

  override matches(path: string): boolean {
    return findForm(path) !== undefined;
  }

  override async handle(
    exchange: CallerExchange,
    signal: AbortSignal,
  ): Promise<void> {
    const { environment, limits, clock } = this.#context.options;
    const admitted = await this.#context.admit(exchange, signal);
    const form = findForm(exchange.path) ?? CompletionForm.Text;
    const request = parseCompletionRequest(form, admitted.body);
    const service = findService(admitted.configuration, {
      name: request.model,
      kind: ServiceKind.Model,
      organisation: admitted.organisation,
    });
    const call = buildCall(exchange.request, {
      request: exchange.requestId,
      organisation: admitted.organisation,
      service,
      path: COMPLETION_PATHS[form],
      body: admitted.body,
      prefix: request.prefix,
      defaultDeadlineMilliseconds: limits.defaultDeadlineMilliseconds,
      clock,
    });
    call.hintedCost ||= request.maximumTokens;
    const sink = this.#createSink(exchange, request);
    await this.#context.track(call, async (entry) => {
      const run = new CompletionRun({ environment, entry, request, sink });
      await run.run(signal);
    });
  }

  #createSink(
    exchange: CallerExchange,
    request: CompletionRequest,
  ): CompletionSink {
    const wallTime = this.#context.options.clock.wallTime();
    const identity: AnswerIdentity = {
      request: exchange.requestId,
      form: request.form,
      model: request.model,
      created: Math.floor(wallTime / MILLISECONDS_PER_SECOND),
    };
    return request.stream
      ? new StreamSink(exchange.answer, identity)
      : new JsonSink(exchange.answer, identity);
  }
}

function findForm(path: string): CompletionForm | undefined {
  return Object.values(CompletionForm).find((form) =>
    COMPLETION_PATHS[form] === path
  );
}

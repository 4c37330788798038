/** Lets a caller take a stream up again, at this or another VM. */

import { HeaderName } from "@rattanvane/platform";
import {
  CallerError,
  CallerErrorKind,
  CallOutcome,
} from "../caller/caller_error.ts";
import { type CallerExchange, CallerHandler } from "../caller/caller_server.ts";
import { buildCall } from "./call_reader.ts";
import {
  COMPLETION_PATHS,
  type CompletionRequest,
} from "./completion_request.ts";
import { CompletionRun } from "./completion_run.ts";
import { StreamSink } from "./completion_sink.ts";
import type { IngressContext } from "./ingress_context.ts";
import { CallPhase } from "./ledger_entry.ts";
import {
  parseEventId,
  parseTicket,
  type StreamPosition,
} from "./stream_ticket.ts";

const PATH_PREFIX = "/v1/streams/";
const MILLISECONDS_PER_SECOND = 1_000;

/** Serves GET /v1/streams/ID with a Last-Event-ID. */
export class ResumeHandler extends CallerHandler {
  override readonly methods = ["GET"];
  readonly #context: IngressContext;

  constructor(context: IngressContext) {
    super();
    this.#context = context;
  }

  override matches(path: string): boolean {
    return path.startsWith(PATH_PREFIX);
  }

  override async handle(
    exchange: CallerExchange,
    signal: AbortSignal,
  ): Promise<void> {
    const { environment, limits, clock } = this.#context.options;
    const { configuration, organisation } = this.#context.authenticate(
      exchange,
    );
    const { ticket, offset } = this.#readPosition(exchange);
    const endpoint = configuration.endpoints.get(ticket.endpoint);
    const service = endpoint === undefined
      ? undefined
      : configuration.services.get(endpoint.service);
    const own = ticket.organisation === organisation.name;
    if (endpoint === undefined || service === undefined || !own) {
      throw createGoneError(CallOutcome.Unknown);
    }
    const call = buildCall(exchange.request, {
      request: exchange.requestId,
      organisation,
      service,
      path: COMPLETION_PATHS[ticket.form],
      body: new Uint8Array(),
      prefix: "",
      defaultDeadlineMilliseconds: limits.defaultDeadlineMilliseconds,
      clock,
    });
    const sink = new StreamSink(exchange.answer, {
      request: ticket.request,
      form: ticket.form,
      model: service.name,
      created: Math.floor(clock.wallTime() / MILLISECONDS_PER_SECOND),
    });
    const request = createResumedRequest(ticket.form, service.name);
    await this.#context.hold(call, async (entry) => {
      entry.phase = CallPhase.Running;
      entry.attemptsMade = 1;
      entry.pool = { zone: endpoint.zone, service: service.name };
      entry.current = {
        attempt: ticket.attempt,
        endpoint: endpoint.name,
        pool: entry.pool,
        cost: 0,
        reportedCost: 0,
        reportedAt: clock.now(),
        bootId: "",
        isBootReported: false,
      };
      environment.dispatcher.followTerm(entry.pool);
      const run = new CompletionRun({ environment, entry, request, sink });
      await run.runResumed(offset, signal);
    });
  }

  #readPosition(exchange: CallerExchange): StreamPosition {
    const { fleetKeys } = this.#context.options.environment;
    const header = exchange.request.headers[HeaderName.LastEventId];
    const place = parseEventId(typeof header === "string" ? header : "0");
    if (place === undefined) {
      throw new CallerError(
        CallerErrorKind.MalformedHeader,
        `The header "last-event-id" holds no event id, but "${String(header)}"`,
      );
    }
    const fromPath = exchange.path.slice(PATH_PREFIX.length);
    const ticket = parseTicket(place.ticket ?? fromPath, fleetKeys);
    if (ticket === undefined) {
      throw createGoneError(CallOutcome.NotRun);
    }
    return { ticket, offset: place.offset };
  }
}

function createResumedRequest(
  form: CompletionRequest["form"],
  model: string,
): CompletionRequest {
  return {
    form,
    model,
    stream: true,
    maximumTokens: 0,
    prefix: "",
    promptTokens: 0,
    fields: {},
  };
}

function createGoneError(outcome: CallOutcome): CallerError {
  return new CallerError(
    CallerErrorKind.StreamGone,
    "There is no such stream of this organisation",
    { outcome },
  );
}

/** HTTP handler that resumes an interrupted stream, begun at any VM. */

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
import { CallPhase } from "./call_entry.ts";
import {
  parseEventId,
  parseTicket,
  type StreamPosition,
} from "./stream_ticket.ts";

const PATH_PREFIX = "/v1/streams/";
const MILLISECONDS_PER_SECOND = 1_000;

/** Handles GET /v1/streams/ID with the header Last-Event-ID. */
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
    const isOwnStream = ticket.organisation === organisation.name;
    if (endpoint === undefined || service === undefined || !isOwnStream) {
      throw createStreamGoneError(CallOutcome.Unknown);
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
    await this.#context.track(call, async (entry) => {
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
        isBootIdReported: false,
      };
      environment.dispatcher.handleTermChange(entry.pool);
      const run = new CompletionRun({ environment, entry, request, sink });
      await run.runResumed(offset, signal);
    });
  }

  /**
   * Reads the stream and offset to resume from. The ticket within Last-Event-ID
   * takes precedence over the one in the path. Throws a CallerError.
   */
  #readPosition(exchange: CallerExchange): StreamPosition {
    const { fleetKeys } = this.#context.options.environment;
    const header = exchange.request.headers[HeaderName.LastEventId];
    const position = parseEventId(typeof header === "string" ? header : "0");
    if (position === undefined) {
      throw new CallerError(
        CallerErrorKind.MalformedHeader,
        `The header "last-event-id" is not an event id: "${String(header)}"`,
      );
    }
    const pathTicket = exchange.path.slice(PATH_PREFIX.length);
    const ticket = parseTicket(position.ticket ?? pathTicket, fleetKeys);
    if (ticket === undefined) {
      throw createStreamGoneError(CallOutcome.NotRun);
    }
    return { ticket, offset: position.offset };
  }
}

/** Creates the request of a resumed stream; its original body is not known. */
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

function createStreamGoneError(outcome: CallOutcome): CallerError {
  return new CallerError(
    CallerErrorKind.StreamGone,
    "The organisation has no stream with this id",
    { outcome },
  );
}

/** Endpoints over HTTP. */

import type { Clock } from "@rattanvane/base";
import { err, ok, type Result } from "neverthrow";
import {
  type EndpointAddress,
  EndpointClient,
  type EndpointRequest,
  type EndpointResponse,
  type HttpHeader,
  type LoadReport,
} from "../endpoint_client.ts";
import { EndpointError, EndpointErrorKind } from "../endpoint_error.ts";
import { HeaderName } from "../headers.ts";
import { BodyTooLongError, readBody } from "./body_reader.ts";
import { EndpointBody } from "./endpoint_body.ts";
import {
  createExchangeError,
  EndpointConnections,
  type OpenAnswer,
  stopAnswer,
} from "./endpoint_exchange.ts";
import { collectForwardedHeaders, findHeader } from "./endpoint_headers.ts";
import { parseLoadReport } from "./load_report_parser.ts";

const STATUS_NO_CONTENT = 204;
const STATUS_NOT_FOUND = 404;
const STATUS_UNAVAILABLE = 503;
const NOT_RUN = "not_run";
const CONTROL_ANSWER_LIMIT_BYTES = 64 * 1024;
const DEFAULT_CONNECT_TIMEOUT_MILLISECONDS = 1_000;
const DEFAULT_CONTROL_TIMEOUT_MILLISECONDS = 2_000;
const DEFAULT_IDLE_TIMEOUT_MILLISECONDS = 30_000;

/** Settings of the endpoint client. */
export interface HttpEndpointClientOptions {
  clock: Clock;
  connectTimeoutMilliseconds?: number;
  /** The own IP number to connect from; the system chooses without it. */
  localAddress?: string;
  /** The time limit of load reports, cancels and the start of a resume. */
  controlTimeoutMilliseconds?: number;
  /** The longest silence in a resumed stream. */
  idleTimeoutMilliseconds?: number;
}

/** What an answer must be to be taken for a call's. */
interface ExpectedAnswer {
  endpoint: string;
  attempt: string;
  idleTimeoutMilliseconds: number;
}

/** Reaches endpoints with one connection pool for each. */
export class HttpEndpointClient extends EndpointClient {
  readonly #options: Required<HttpEndpointClientOptions>;
  readonly #connections: EndpointConnections;

  constructor(options: HttpEndpointClientOptions, signal: AbortSignal) {
    super();
    this.#options = {
      connectTimeoutMilliseconds: DEFAULT_CONNECT_TIMEOUT_MILLISECONDS,
      controlTimeoutMilliseconds: DEFAULT_CONTROL_TIMEOUT_MILLISECONDS,
      idleTimeoutMilliseconds: DEFAULT_IDLE_TIMEOUT_MILLISECONDS,
      localAddress: "",
      ...options,
    };
    this.#connections = new EndpointConnections(this.#options, signal);
  }

  override async send(
    address: EndpointAddress,
    request: EndpointRequest,
    signal: AbortSignal,
  ): Promise<Result<EndpointResponse, EndpointError>> {
    const opened = await this.#connections.open(address, {
      method: request.method,
      path: request.path,
      headers: createRequestHeaders(request),
      body: request.body.byteLength === 0 ? null : request.body,
      firstByteTimeoutMilliseconds: request.firstByteTimeoutMilliseconds,
    }, signal);
    return opened.andThen((answer) =>
      this.#judge(answer, {
        endpoint: address.endpoint,
        attempt: request.attempt,
        idleTimeoutMilliseconds: request.idleTimeoutMilliseconds,
      })
    );
  }

  override async resume(
    address: EndpointAddress,
    request: { attempt: string; offset: number },
    signal: AbortSignal,
  ): Promise<Result<EndpointResponse, EndpointError>> {
    const stream = encodeURIComponent(request.attempt);
    const opened = await this.#connections.open(address, {
      method: "POST",
      path: `/v1/streams/${stream}/resume?offset=${request.offset}`,
      headers: [{ name: HeaderName.AttemptId, value: request.attempt }],
      body: null,
      firstByteTimeoutMilliseconds: this.#options.controlTimeoutMilliseconds,
    }, signal);
    return opened.andThen((answer) => {
      if (answer.status === STATUS_NOT_FOUND) {
        stopAnswer(answer);
        return err(createStreamGoneError(address, request.attempt));
      }
      return this.#judge(answer, {
        endpoint: address.endpoint,
        attempt: request.attempt,
        idleTimeoutMilliseconds: this.#options.idleTimeoutMilliseconds,
      });
    });
  }

  override async cancel(
    address: EndpointAddress,
    attempt: string,
    signal: AbortSignal,
  ): Promise<Result<void, EndpointError>> {
    const answer = await this.#runControl(address, {
      method: "DELETE",
      path: `/v1/streams/${encodeURIComponent(attempt)}`,
      headers: [{ name: HeaderName.AttemptId, value: attempt }],
    }, signal);
    return answer.andThen(({ status }) => {
      if (status === STATUS_NO_CONTENT || status === STATUS_NOT_FOUND) {
        return ok(undefined);
      }
      return err(
        new EndpointError(
          EndpointErrorKind.BadResponse,
          `Endpoint "${address.endpoint}" answered a cancel with ${status}`,
        ),
      );
    });
  }

  override async readLoad(
    address: EndpointAddress,
    signal: AbortSignal,
  ): Promise<Result<LoadReport, EndpointError>> {
    const answer = await this.#runControl(address, {
      method: "GET",
      path: "/load",
      headers: [],
    }, signal);
    return answer.andThen((whole) => parseLoadReport(address, whole));
  }

  /** Closes the connections of endpoints that are not in use any more. */
  async closeUnused(inUse: readonly EndpointAddress[]): Promise<void> {
    await this.#connections.closeUnused(inUse);
  }

  /** Runs a small call whose answer is read whole. */
  async #runControl(
    address: EndpointAddress,
    call: { method: string; path: string; headers: HttpHeader[] },
    signal: AbortSignal,
  ): Promise<Result<{ status: number; body: Uint8Array }, EndpointError>> {
    const limit = this.#options.controlTimeoutMilliseconds;
    const opened = await this.#connections.open(address, {
      ...call,
      body: null,
      firstByteTimeoutMilliseconds: limit,
    }, signal);
    if (opened.isErr()) {
      return err(opened.error);
    }
    const { timer, status, source } = opened.value;
    timer.startLimit(limit);
    try {
      const body = await readBody(source, CONTROL_ANSWER_LIMIT_BYTES);
      return ok({ status, body });
    } catch (thrown) {
      return err(createControlError(address, { thrown, timer }));
    } finally {
      timer.stop();
    }
  }

  #judge(
    answer: OpenAnswer,
    expected: ExpectedAnswer,
  ): Result<EndpointResponse, EndpointError> {
    const { endpoint, attempt } = expected;
    const answered = findHeader(answer.headers, HeaderName.AttemptId);
    // Checked before anything else: a "not run" of another attempt is no
    // statement about this one.
    if (answered !== attempt) {
      stopAnswer(answer);
      return err(createCrossedError(expected, answered));
    }
    const outcome = findHeader(answer.headers, HeaderName.Outcome);
    if (answer.status === STATUS_UNAVAILABLE && outcome === NOT_RUN) {
      stopAnswer(answer);
      return err(
        new EndpointError(
          EndpointErrorKind.Refused,
          `Endpoint "${endpoint}" did not run attempt "${attempt}"`,
        ),
      );
    }
    return ok({
      status: answer.status,
      headers: collectForwardedHeaders(answer.headers, []),
      bootId: findHeader(answer.headers, HeaderName.BootId),
      body: new EndpointBody(answer.source, {
        endpoint,
        clock: this.#options.clock,
        timer: answer.timer,
        idleTimeoutMilliseconds: expected.idleTimeoutMilliseconds,
      }),
    });
  }
}

function createRequestHeaders(request: EndpointRequest): HttpHeader[] {
  const forwarded = collectForwardedHeaders(request.headers, [
    HeaderName.AttemptId,
  ]);
  return [
    ...forwarded,
    { name: HeaderName.AttemptId, value: request.attempt },
  ];
}

function createCrossedError(
  expected: ExpectedAnswer,
  answered: string,
): EndpointError {
  return new EndpointError(
    EndpointErrorKind.CrossedAnswer,
    `Endpoint "${expected.endpoint}" answered attempt ` +
      `"${expected.attempt}" with the id "${answered}"`,
  );
}

function createStreamGoneError(
  address: EndpointAddress,
  attempt: string,
): EndpointError {
  return new EndpointError(
    EndpointErrorKind.Refused,
    `Endpoint "${address.endpoint}" no longer holds the stream of attempt ` +
      `"${attempt}"`,
  );
}

function createControlError(
  address: EndpointAddress,
  failure: Parameters<typeof createExchangeError>[1],
): EndpointError {
  if (failure.thrown instanceof BodyTooLongError) {
    return new EndpointError(
      EndpointErrorKind.BadResponse,
      `The answer of endpoint "${address.endpoint}" is too long`,
      failure.thrown,
    );
  }
  return createExchangeError(address, failure);
}

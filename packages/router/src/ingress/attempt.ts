/** Runs one attempt at an endpoint, from its grant to the report of its end. */

import {
  EndpointError,
  EndpointErrorKind,
  type EndpointRequest,
  type EndpointResponse,
  type HttpHeader,
} from "@rattanvane/platform";
import { AttemptOutcome } from "@rattanvane/protocol";
import { err, type Result } from "neverthrow";
import type { AttemptEnvironment } from "./attempt_environment.ts";
import {
  convertOutcome,
  convertResumeError,
  isNotRun,
} from "./attempt_outcome.ts";
import type { CallEntry, CurrentAttempt } from "./call_entry.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/** HTTP request that is sent to the endpoint. */
export interface AttemptContent {
  method: string;
  path: string;
  headers: HttpHeader[];
  body: Uint8Array;
}

/** Sends one attempt and reports how it ended. */
export class Attempt {
  readonly #environment: AttemptEnvironment;
  readonly #entry: CallEntry;
  readonly #current: CurrentAttempt;
  readonly #startedAt: number;
  #firstByteAt: number | undefined;

  /** Throws an Error when the request has no grant. */
  constructor(environment: AttemptEnvironment, entry: CallEntry) {
    if (entry.current === undefined) {
      throw new Error("Cannot start an attempt of a request without a grant");
    }
    this.#environment = environment;
    this.#entry = entry;
    this.#current = entry.current;
    this.#startedAt = environment.clock.now();
  }

  /** Id, endpoint and accumulated cost of the attempt. */
  get current(): CurrentAttempt {
    return this.#current;
  }

  /** Sends the request; from then on it counts as an attempt made. */
  async send(
    content: AttemptContent,
    signal: AbortSignal,
  ): Promise<Result<EndpointResponse, EndpointError>> {
    const { client, limits } = this.#environment;
    const endpoint = this.#environment.findEndpoint(this.#current.endpoint);
    if (endpoint === undefined) {
      const problem = `Endpoint "${this.#current.endpoint}" was removed`;
      return err(new EndpointError(EndpointErrorKind.NotSent, problem));
    }
    this.#entry.attemptsMade++;
    const request: EndpointRequest = {
      attempt: this.#current.attempt,
      ...content,
      firstByteTimeoutMilliseconds: limits.firstByteTimeoutMilliseconds,
      idleTimeoutMilliseconds: limits.idleTimeoutMilliseconds,
    };
    const address = { endpoint: endpoint.name, url: endpoint.url };
    const response = await client.send(address, request, signal);
    this.#recordResponse(response);
    return response;
  }

  /** Resumes an interrupted stream at an offset, in tokens. */
  async resume(
    offset: number,
    signal: AbortSignal,
  ): Promise<Result<EndpointResponse, EndpointError>> {
    const endpoint = this.#environment.findEndpoint(this.#current.endpoint);
    if (endpoint === undefined) {
      const problem = `Endpoint "${this.#current.endpoint}" was removed`;
      return err(new EndpointError(EndpointErrorKind.NotSent, problem));
    }
    const address = { endpoint: endpoint.name, url: endpoint.url };
    const { attempt } = this.#current;
    const response = await this.#environment.client.resume(
      address,
      { attempt, offset },
      signal,
    );
    // The attempt has run in any case, even if it cannot be resumed.
    if (response.isOk()) {
      this.#current.bootId = response.value.bootId;
    }
    return response.mapErr(convertResumeError);
  }

  /** Records the arrival of the first byte; later calls have no effect. */
  recordFirstByte(): void {
    this.#firstByteAt ??= this.#environment.clock.now();
  }

  /** Sets the accumulated cost of the attempt, in cost units. */
  updateCost(cost: number): void {
    this.#current.cost = cost;
  }

  /** Logs the end of the attempt and reports it to the scheduler. */
  finish(outcome: AttemptOutcome): void {
    const { clock, dispatcher, logger } = this.#environment;
    const durationMilliseconds = clock.now() - this.#startedAt;
    const firstByteMilliseconds = this.#firstByteAt === undefined
      ? 0
      : this.#firstByteAt - this.#startedAt;
    logger.info("attempt ended", {
      request: this.#entry.call.request,
      attempt: this.#current.attempt,
      organisation: this.#entry.call.organisation.name,
      service: this.#entry.call.service.name,
      endpoint: this.#current.endpoint,
      zone: this.#current.pool.zone,
      reason: outcome,
      cost: this.#current.cost,
      milliseconds: Math.round(durationMilliseconds),
    });
    this.#recordMetrics(outcome, firstByteMilliseconds);
    dispatcher.finish(this.#entry, {
      outcome,
      cost: this.#current.cost,
      firstByteMilliseconds,
      durationMilliseconds,
      bootId: this.#current.bootId,
    });
  }

  /**
   * Reports a failed attempt. Further attempts of the request avoid the
   * endpoint, unless the attempt was cancelled.
   */
  finishWithError(error: EndpointError): void {
    if (error.kind !== EndpointErrorKind.Cancelled) {
      this.#entry.avoid.push(this.#current.endpoint);
    }
    this.finish(convertOutcome(error));
  }

  /**
   * Cancels a failed attempt at its endpoint, then reports it. The order
   * matters: an attempt whose response was cut off may still be running, and
   * the scheduler reuses the slot as soon as it gets the report. An attempt
   * that was not run needs no cancelling.
   */
  async cancelWithError(error: EndpointError): Promise<void> {
    if (!isNotRun(error)) {
      await this.cancel(new AbortController().signal);
    }
    this.finishWithError(error);
  }

  /** Cancels the attempt at its endpoint. */
  async cancel(signal: AbortSignal): Promise<void> {
    const endpoint = this.#environment.findEndpoint(this.#current.endpoint);
    if (endpoint !== undefined) {
      const address = { endpoint: endpoint.name, url: endpoint.url };
      const { attempt } = this.#current;
      await this.#environment.client.cancel(address, attempt, signal);
    }
  }

  #recordMetrics(outcome: AttemptOutcome, firstByteMilliseconds: number): void {
    const { metrics } = this.#environment;
    const service = this.#entry.call.service.name;
    const organisation = this.#entry.call.organisation.name;
    metrics.attempts.inc({ service, outcome });
    metrics.cost.add({ organisation, service }, this.#current.cost);
    if (this.#firstByteAt !== undefined) {
      const seconds = firstByteMilliseconds / MILLISECONDS_PER_SECOND;
      metrics.firstByte.observe({ service }, seconds);
    }
  }

  /**
   * Records the boot id; an attempt that was not run does not count as made.
   */
  #recordResponse(response: Result<EndpointResponse, EndpointError>): void {
    if (response.isOk()) {
      this.#current.bootId = response.value.bootId;
      return;
    }
    const hasNotRun = response.error.kind === EndpointErrorKind.NotSent ||
      response.error.kind === EndpointErrorKind.Refused;
    if (hasNotRun) {
      this.#entry.attemptsMade--;
    }
  }
}

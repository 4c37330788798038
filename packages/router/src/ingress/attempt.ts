/** One attempt at an endpoint, from the grant to the report of its end. */

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
import type { CurrentAttempt, LedgerEntry } from "./ledger_entry.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/** What is sent to the endpoint. */
export interface AttemptContent {
  method: string;
  path: string;
  headers: HttpHeader[];
  body: Uint8Array;
}

/** Sends one attempt and reports how it ended. */
export class Attempt {
  readonly #environment: AttemptEnvironment;
  readonly #entry: LedgerEntry;
  readonly #current: CurrentAttempt;
  readonly #startedAt: number;
  #firstByteAt: number | undefined;

  /** The entry must hold a grant. */
  constructor(environment: AttemptEnvironment, entry: LedgerEntry) {
    if (entry.current === undefined) {
      throw new Error("An attempt needs a grant");
    }
    this.#environment = environment;
    this.#entry = entry;
    this.#current = entry.current;
    this.#startedAt = environment.clock.now();
  }

  /** The attempt's id, endpoint and cost so far. */
  get current(): CurrentAttempt {
    return this.#current;
  }

  /** Sends the content; what was sent counts as an attempt made. */
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
    this.#note(response);
    return response;
  }

  /** Takes a stream that broke up again at an offset. */
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
    // The attempt has run in any case, also when it can't be resumed.
    if (response.isOk()) {
      this.#current.bootId = response.value.bootId;
    }
    return response.mapErr(convertResumeError);
  }

  /** Notes that the first part of the answer is here. */
  markFirstByte(): void {
    this.#firstByteAt ??= this.#environment.clock.now();
  }

  /** Notes what the attempt has cost so far, in cost units. */
  updateCost(cost: number): void {
    this.#current.cost = cost;
  }

  /** Reports the end of the attempt to its scheduler, and logs it. */
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
    this.#count(outcome, firstByteMilliseconds);
    dispatcher.finish(this.#entry, {
      outcome,
      cost: this.#current.cost,
      firstByteMilliseconds,
      durationMilliseconds,
      bootId: this.#current.bootId,
    });
  }

  /** Reports an attempt that failed; its endpoint is avoided from now on. */
  finishWithError(error: EndpointError): void {
    if (error.kind !== EndpointErrorKind.Cancelled) {
      this.#entry.avoid.push(this.#current.endpoint);
    }
    this.finish(convertOutcome(error));
  }

  /**
   * The same, but frees the endpoint's slot before the scheduler's: an attempt
   * that broke off may run on, and the scheduler fills the slot at once.
   */
  async stopWithError(error: EndpointError): Promise<void> {
    if (!isNotRun(error)) {
      await this.cancel(new AbortController().signal);
    }
    this.finishWithError(error);
  }

  /** Tells the endpoint that nobody waits for the attempt any more. */
  async cancel(signal: AbortSignal): Promise<void> {
    const endpoint = this.#environment.findEndpoint(this.#current.endpoint);
    if (endpoint !== undefined) {
      const address = { endpoint: endpoint.name, url: endpoint.url };
      const { attempt } = this.#current;
      await this.#environment.client.cancel(address, attempt, signal);
    }
  }

  #count(outcome: AttemptOutcome, firstByteMilliseconds: number): void {
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

  /** An attempt that was not run counts as not made. */
  #note(response: Result<EndpointResponse, EndpointError>): void {
    if (response.isOk()) {
      this.#current.bootId = response.value.bootId;
      return;
    }
    const notRun = response.error.kind === EndpointErrorKind.NotSent ||
      response.error.kind === EndpointErrorKind.Refused;
    if (notRun) {
      this.#entry.attemptsMade--;
    }
  }
}

/** Checks the health of an endpoint over HTTP. */

import { type Clock, Deferred } from "@rattanvane/base";
import type { EndpointReport } from "@rattanvane/protocol";
import type { AnswerHeaders, Dialect } from "../model/dialect.ts";
import type { EndpointState } from "../scheduling/endpoint_state.ts";
import {
  type AnswerControl,
  AnswerReceiver,
  type EndpointTransport,
} from "./endpoint_transport.ts";
import { PendingReport } from "./pending_report.ts";

const STATUS_OK = 200;

class HealthReceiver extends AnswerReceiver {
  readonly isHealthy = new Deferred<boolean>();
  readonly #dialect: Dialect;
  readonly #report: PendingReport;
  #status = 0;

  constructor({ dialect, clock }: HealthCheckOptions) {
    super();
    this.#dialect = dialect;
    this.#report = new PendingReport(clock);
  }

  override begin(
    status: number,
    headers: AnswerHeaders,
    _control: AnswerControl,
  ): void {
    this.#status = status;
    const { load } = this.#dialect.readAnswerMetadata(headers);
    if (load !== undefined) {
      this.#report.record(load);
    }
  }

  /** What the endpoint reports of its load; undefined for nothing. */
  takeReport(): EndpointReport | undefined {
    return this.#report.take();
  }

  override receive(): void {
    // The health is decided by the status; the body is ignored.
  }

  override end(): void {
    this.isHealthy.resolve(this.#status === STATUS_OK);
  }

  override fail(): void {
    this.isHealthy.resolve(false);
  }
}

/** The path and the dependencies of a health check. */
export interface HealthCheckOptions {
  path: string;
  transport: EndpointTransport;
  dialect: Dialect;
  clock: Clock;
}

/**
 * Resolves to true when the endpoint answers its health path with status 200,
 * and to false on any other status, a failure or an abort. Records the speed that
 * the endpoint reports.
 */
export async function readHealth(
  { record, speed }: EndpointState,
  options: HealthCheckOptions,
  signal: AbortSignal,
): Promise<boolean> {
  const receiver = new HealthReceiver(options);
  const address = `${record.host}:${record.port}`;
  const request = options.transport.send(address, {
    method: "GET",
    target: options.path,
    headers: [],
    body: new Uint8Array(),
  }, receiver);
  const stop = () => {
    request.cancel();
    receiver.isHealthy.resolve(false);
  };
  signal.addEventListener("abort", stop, { once: true });
  try {
    const isHealthy = await receiver.isHealthy.promise;
    const report = receiver.takeReport();
    if (isHealthy && report !== undefined) {
      speed.record(report);
    }
    return isHealthy;
  } finally {
    signal.removeEventListener("abort", stop);
  }
}

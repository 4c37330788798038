/** Checks the health of an endpoint over HTTP. */

import { Deferred } from "@rattanvane/base";
import type { AnswerHeaders } from "../model/dialect.ts";
import type { EndpointState } from "../scheduling/endpoint_state.ts";
import {
  type AnswerControl,
  AnswerReceiver,
  type EndpointTransport,
} from "./endpoint_transport.ts";

const STATUS_OK = 200;

class HealthReceiver extends AnswerReceiver {
  readonly isHealthy = new Deferred<boolean>();
  #status = 0;

  override begin(
    status: number,
    _headers: AnswerHeaders,
    _control: AnswerControl,
  ): void {
    this.#status = status;
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

/**
 * Resolves to true when the endpoint answers its health path with status 200,
 * and to false on any other status, a failure or an abort.
 */
export async function readHealth(
  { record }: EndpointState,
  options: { path: string; transport: EndpointTransport },
  signal: AbortSignal,
): Promise<boolean> {
  const receiver = new HealthReceiver();
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
    return await receiver.isHealthy.promise;
  } finally {
    signal.removeEventListener("abort", stop);
  }
}

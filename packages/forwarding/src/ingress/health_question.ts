/** Asks an endpoint for its health. */

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
  readonly answer = new Deferred<boolean>();
  #status = 0;

  override begin(
    status: number,
    _headers: AnswerHeaders,
    _control: AnswerControl,
  ): void {
    this.#status = status;
  }

  override receive(): void {
    // Only the status counts.
  }

  override end(): void {
    this.answer.resolve(this.#status === STATUS_OK);
  }

  override fail(): void {
    this.answer.resolve(false);
  }
}

/** Resolves to whether the endpoint says that it is well. */
export async function readHealth(
  { record }: EndpointState,
  options: { path: string; transport: EndpointTransport },
  signal: AbortSignal,
): Promise<boolean> {
  const receiver = new HealthReceiver();
  const address = `${record.host}:${record.port}`;
  const sent = options.transport.send(address, {
    method: "GET",
    target: options.path,
    headers: [],
    body: new Uint8Array(),
  }, receiver);
  const stop = () => {
    sent.cancel();
    receiver.answer.resolve(false);
  };
  signal.addEventListener("abort", stop, { once: true });
  try {
    return await receiver.answer.promise;
  } finally {
    signal.removeEventListener("abort", stop);
  }
}

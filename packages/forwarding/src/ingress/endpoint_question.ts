/** Asks an endpoint something and takes its whole answer. */

import { Buffer } from "node:buffer";
import { Deferred } from "@rattanvane/base";
import type { AnswerHeaders, EndpointRequest } from "../model/dialect.ts";
import {
  type AnswerControl,
  AnswerReceiver,
  type AttemptBreak,
  type EndpointTransport,
} from "./endpoint_transport.ts";

/** What an endpoint said. */
export interface EndpointReply {
  status: number;
  body: Uint8Array;
}

class ReplyReceiver extends AnswerReceiver {
  /** Undefined when there was no whole answer. */
  readonly reply = new Deferred<EndpointReply | undefined>();
  readonly #chunks: Uint8Array[] = [];
  #status = 0;

  override begin(
    status: number,
    _headers: AnswerHeaders,
    _control: AnswerControl,
  ): void {
    this.#status = status;
  }

  override receive(chunk: Uint8Array): void {
    this.#chunks.push(chunk);
  }

  override end(): void {
    const body = Buffer.concat(this.#chunks);
    this.reply.resolve({ status: this.#status, body });
  }

  override fail(_cause: AttemptBreak): void {
    this.reply.resolve(undefined);
  }
}

/** Resolves to the answer; undefined without one or when the signal aborts. */
export async function readReply(
  address: string,
  options: { request: EndpointRequest; transport: EndpointTransport },
  signal: AbortSignal,
): Promise<EndpointReply | undefined> {
  const { request, transport } = options;
  const receiver = new ReplyReceiver();
  const sent = transport.send(address, request, receiver);
  const stop = () => {
    sent.cancel();
    receiver.reply.resolve(undefined);
  };
  signal.addEventListener("abort", stop, { once: true });
  try {
    return await receiver.reply.promise;
  } finally {
    signal.removeEventListener("abort", stop);
  }
}

/** Asks an endpoint for its health. */

import type { EndpointState } from "../scheduling/endpoint_state.ts";
import { readReply } from "./endpoint_question.ts";
import type { EndpointTransport } from "./endpoint_transport.ts";

const STATUS_OK = 200;

/** Resolves to whether the endpoint says that it is well. */
export async function readHealth(
  endpoint: EndpointState,
  options: { path: string; transport: EndpointTransport },
  signal: AbortSignal,
): Promise<boolean> {
  const { path, transport } = options;
  const request = {
    method: "GET",
    target: path,
    headers: [],
    body: new Uint8Array(),
  };
  const reply = await readReply(
    endpoint.address,
    { request, transport },
    signal,
  );
  return reply?.status === STATUS_OK;
}

/** Callers that send their requests and leave while the process is busy. */

import { Worker } from "node:worker_threads";

const CALLERS_MODULE = `
const { connect } = require("node:net");
const { workerData } = require("node:worker_threads");
const { host, port, requests, shared } = workerData;
const state = new Int32Array(shared);
for (const request of requests) {
  const socket = connect(port, host, () => {
    socket.write(request, () => socket.destroy());
  });
  socket.on("close", () => {
    Atomics.add(state, 0, 1);
    Atomics.notify(state, 0);
  });
}
`;

/** Where the requests go, and their bytes. */
export interface DepartingCallersOptions {
  host: string;
  port: number;
  requests: string[];
}

/**
 * Sends each request on a connection of its own and closes it at once, from
 * another thread, and blocks this one until all of them are closed.
 */
export async function runDepartingCallers(
  options: DepartingCallersOptions,
): Promise<void> {
  const shared = new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT);
  const state = new Int32Array(shared);
  const worker = new Worker(CALLERS_MODULE, {
    eval: true,
    workerData: { ...options, shared },
  });
  await new Promise((resolve) => worker.once("online", resolve));
  for (;;) {
    const closed = Atomics.load(state, 0);
    if (closed >= options.requests.length) {
      break;
    }
    Atomics.wait(state, 0, closed);
  }
  await worker.terminate();
}

/** Callers that connect, send or leave while the process is busy. */

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

const CONNECTIONS_MODULE = `
const { connect } = require("node:net");
const { workerData } = require("node:worker_threads");
const { host, port, callers, shared } = workerData;
const state = new Int32Array(shared);
for (let caller = 0; caller < callers; caller++) {
  const socket = connect(port, host, () => Atomics.add(state, 0, 1));
  socket.on("error", () => socket.destroy());
}
`;

/** How many callers connect, and how long the process accepts none of them. */
export interface BusyProcessOptions {
  host: string;
  port: number;
  callers: number;
  busyMilliseconds: number;
}

/**
 * Counts the connections that callers from another thread get established while
 * this thread is blocked.
 */
export async function countEstablishedConnections(
  options: BusyProcessOptions,
): Promise<number> {
  const shared = new SharedArrayBuffer(2 * Int32Array.BYTES_PER_ELEMENT);
  const state = new Int32Array(shared);
  const worker = new Worker(CONNECTIONS_MODULE, {
    eval: true,
    workerData: { ...options, shared },
  });
  await new Promise((resolve) => worker.once("online", resolve));
  Atomics.wait(state, 1, 0, options.busyMilliseconds);
  const established = Atomics.load(state, 0);
  await worker.terminate();
  return established;
}

/** Callers that press a VM with requests and with new connections. */

import { Worker } from "node:worker_threads";

const CALLERS_MODULE = `
const { connect } = require("node:net");
const { workerData } = require("node:worker_threads");
const { parentPort } = require("node:worker_threads");
const {
  host, port, request, keptCallers, retryMilliseconds, newPerSecond,
  patienceMilliseconds, warmUpMilliseconds, milliseconds,
} = workerData;
const TICK_MILLISECONDS = 5;
const counts = { tried: 0, answered: 0, served: 0, kept: 0 };
const startedAt = Date.now();

function readStatus(chunk) {
  return Number(chunk.toString("latin1").slice(9, 12));
}

function runKeptCaller() {
  const socket = connect(port, host, () => socket.write(request));
  socket.on("data", (chunk) => {
    counts.kept++;
    const wait = readStatus(chunk) === 200 ? 0 : retryMilliseconds;
    setTimeout(() => socket.writable && socket.write(request), wait);
  });
  socket.on("error", () => socket.destroy());
  socket.on("end", () => socket.end());
  socket.on("close", () => setTimeout(runKeptCaller, retryMilliseconds));
}

function startNewCaller() {
  const counted = Date.now() - startedAt >= warmUpMilliseconds;
  counts.tried += counted ? 1 : 0;
  const socket = connect(port, host, () => socket.write(request));
  const patience = setTimeout(() => socket.destroy(), patienceMilliseconds);
  socket.on("data", (chunk) => {
    counts.answered += counted ? 1 : 0;
    counts.served += counted && readStatus(chunk) === 200 ? 1 : 0;
    socket.destroy();
  });
  socket.on("error", () => socket.destroy());
  socket.on("close", () => clearTimeout(patience));
}

for (let caller = 0; caller < keptCallers; caller++) {
  runKeptCaller();
}
let started = 0;
const timer = setInterval(() => {
  const elapsed = Date.now() - startedAt;
  const due = Math.floor(Math.min(elapsed, milliseconds) * newPerSecond / 1000);
  while (started < due) {
    started++;
    startNewCaller();
  }
  if (elapsed > milliseconds + patienceMilliseconds) {
    clearInterval(timer);
    parentPort.postMessage(counts);
  }
}, TICK_MILLISECONDS);
`;

/** The load of the callers. */
export interface PressingCallersOptions {
  host: string;
  port: number;
  /** The bytes of each request. */
  request: string;
  /**
   * Callers that keep their connection and send again once they are answered,
   * those that are refused after a while. They connect again when it is closed.
   */
  keptCallers: number;
  retryMilliseconds: number;
  /** Callers a second that open a connection for one request. */
  newPerSecond: number;
  /** How long these wait for the answer. */
  patienceMilliseconds: number;
  /** New connections of this first time are not counted. */
  warmUpMilliseconds: number;
  /** How long new connections are opened. */
  milliseconds: number;
}

/** How the callers fared. */
export interface PressingCallersResult {
  /** New connections after the warm-up, and those that had an answer. */
  tried: number;
  answered: number;
  /** Those that were not refused. */
  served: number;
  /** Answers on kept connections. */
  kept: number;
}

/** Runs the callers in a thread of their own and counts their answers. */
export async function runPressingCallers(
  options: PressingCallersOptions,
): Promise<PressingCallersResult> {
  const worker = new Worker(CALLERS_MODULE, {
    eval: true,
    workerData: options,
  });
  const result = await new Promise<PressingCallersResult>((resolve, reject) => {
    worker.once("message", resolve);
    worker.once("error", reject);
  });
  await worker.terminate();
  return result;
}

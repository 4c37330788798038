/** Clients: send one request over a kept connection and read the answer. */

import { Agent, request as send } from "node:http";
import { randomBytes } from "node:crypto";

/** An answer may arrive a little after the deadline. */
const LINGER_MS = 500;

export const createAgent = (maxSockets = 64) =>
  new Agent({ keepAlive: true, maxSockets });

/**
 * Sends a request and resolves with what the client saw: `status` and `body`,
 * or `error` when the connection ended without a complete answer. A client
 * leaves after its deadline, and when a stream has paused for `gap`, also before
 * its first event.
 */
export function call(target, options) {
  const {
    agent,
    method = "POST",
    path,
    host,
    key,
    headers = {},
    body = "",
    deadline,
    gap,
  } = options;
  const attempt = options.attempt ?? randomBytes(8).toString("hex");
  const sentAt = Date.now();
  const record = { attempt, path, vm: target.host, sentAt, bytes: 0 };
  return new Promise((resolve) => {
    let isDone = false;
    const finish = (result) => {
      if (!isDone) {
        isDone = true;
        clearTimeout(timer);
        clearTimeout(pause);
        resolve(Object.assign(record, result, { endedAt: Date.now() }));
      }
    };
    const outgoing = send({
      ...target,
      localAddress: "127.0.0.1",
      agent,
      method,
      path,
      headers: {
        host,
        "attempt-id": attempt,
        "deadline-ms": String(deadline),
        ...(key === undefined ? {} : { authorization: `Token ${key}` }),
        ...(method === "POST"
          ? { "content-length": Buffer.byteLength(body) }
          : {}),
        ...headers,
      },
    });
    const leave = (error) => {
      finish({ error });
      outgoing.destroy();
    };
    const timer = setTimeout(() => leave("deadline"), deadline + LINGER_MS);
    let pause;
    const restartPause = () => {
      clearTimeout(pause);
      if (gap !== undefined && !isDone) {
        pause = setTimeout(() => leave("abandoned"), gap);
      }
    };
    restartPause();
    // Node.js takes an answer without a length as complete when it is reset.
    let isReset = false;
    outgoing.on("socket", (socket) => {
      record.isKept = outgoing.reusedSocket;
      const noteReset = () => isReset = true;
      socket.once("error", noteReset);
      outgoing.once("close", () => socket.off("error", noteReset));
    });
    outgoing.on("error", (error) => finish({ error: error.code ?? "closed" }));
    outgoing.on("response", (response) => {
      const chunks = [];
      record.status = response.statusCode;
      record.headers = response.headers;
      response.on("data", (chunk) => {
        record.bytes += chunk.length;
        restartPause();
        chunks.push(chunk);
        options.onData?.(chunk, outgoing);
      });
      response.on("error", () => finish({ error: "truncated" }));
      response.on("close", () =>
        finish(
          response.complete && !isReset
            ? { body: Buffer.concat(chunks) }
            : { error: "truncated", body: Buffer.concat(chunks) },
        ));
    });
    outgoing.end(body);
  });
}

/** A client that sees each byte of its answer and how the connection ends. */

import { connect } from "node:net";
import { HOSTNAME, KEY } from "./fleet.mjs";
import { record } from "./record.mjs";

let sequence = 0;

/** Builds a new id, which no other attempt has. */
export function buildAttemptId() {
  return (++sequence).toString(16).padStart(16, "0");
}

/**
 * Sends one request on a new connection. Resolves with what was read until the
 * answer was complete, the connection ended or the client gave up.
 */
export function sendRequest(vm, options) {
  const {
    method = "POST",
    path,
    headers = {},
    body = method === "GET" ? "" : "{}",
    deadline,
    attempt = buildAttemptId(),
    pausesAfter = Infinity,
    onSocket = () => {},
  } = options;
  const startedAt = Date.now();
  const result = {
    attempt,
    vm: vm.host,
    path,
    status: 0,
    headers: {},
    body: Buffer.alloc(0),
    isComplete: false,
    end: "",
  };
  return new Promise((resolve) => {
    const socket = connect({ host: vm.host, port: vm.ports.front });
    onSocket(socket);
    let received = Buffer.alloc(0);
    const finish = (end) => {
      if (result.end !== "") {
        return;
      }
      result.end = end;
      result.milliseconds = Date.now() - startedAt;
      clearTimeout(timer);
      socket.destroy();
      resolve(result);
    };
    const timer = setTimeout(() => finish("gave up"), deadline);
    socket.on("connect", () => {
      record("sent", { attempt, vm: vm.host, path });
      const fields = {
        Host: HOSTNAME,
        "Attempt-Id": attempt,
        "Deadline-Ms": deadline,
        Authorization: `Token ${KEY}`,
        "Content-Length": Buffer.byteLength(body),
        ...headers,
      };
      const head = Object.entries(fields)
        .map(([name, value]) => `${name}: ${value}\r\n`).join("");
      socket.write(`${method} ${path} HTTP/1.1\r\n${head}\r\n${body}`);
    });
    let total = 0;
    socket.on("data", (chunk) => {
      total += chunk.length;
      received = Buffer.concat([received, chunk]);
      if (parseAnswer(received, result)) {
        finish("complete");
      } else if (total > pausesAfter) {
        socket.pause();
      }
    });
    socket.on("end", () => finish("closed"));
    socket.on("error", (error) => finish(error.code ?? error.message));
    socket.on("close", () => finish("closed"));
  });
}

/** Reads what there is of an answer; whether it is complete. */
export function parseAnswer(bytes, result) {
  const headEnd = bytes.indexOf("\r\n\r\n");
  if (headEnd < 0) {
    return false;
  }
  const [line, ...fields] = bytes.subarray(0, headEnd).toString("latin1")
    .split("\r\n");
  result.status = Number(line.split(" ")[1]);
  result.headers = Object.fromEntries(fields.map((field) => {
    const colon = field.indexOf(":");
    return [
      field.slice(0, colon).toLowerCase(),
      field.slice(colon + 1).trim(),
    ];
  }));
  const rest = bytes.subarray(headEnd + 4);
  if (result.headers["transfer-encoding"] === "chunked") {
    return parseChunks(rest, result);
  }
  const length = Number(result.headers["content-length"] ?? Infinity);
  result.body = rest.subarray(0, length);
  result.isComplete = rest.length >= length;
  return result.isComplete;
}

function parseChunks(bytes, result) {
  const parts = [];
  let offset = 0;
  for (;;) {
    const lineEnd = bytes.indexOf("\r\n", offset);
    if (lineEnd < 0) {
      break;
    }
    const length = parseInt(bytes.subarray(offset, lineEnd).toString(), 16);
    const start = lineEnd + 2;
    if (length === 0) {
      result.isComplete = bytes.length >= start + 2;
      break;
    }
    parts.push(bytes.subarray(start, start + length));
    offset = start + length + 2;
    if (offset > bytes.length) {
      break;
    }
  }
  result.body = Buffer.concat(parts);
  return result.isComplete;
}

/** Refuses connections without parsing their requests. */

import { Buffer } from "node:buffer";
import type { Socket } from "node:net";

/** The next connection may reach another VM, or be passed on to one. */
const RETRY_AFTER_SECONDS = 0.05;
const BODY = '{"error":"This VM has too many connections; not run"}\n';
const HEAD_END = "\r\n\r\n";
const ANSWER_HEAD = [
  "HTTP/1.1 503 Service Unavailable",
  "content-type: application/json",
  `content-length: ${BODY.length}`,
  `retry-after: ${RETRY_AFTER_SECONDS}`,
  "connection: close",
].join("\r\n") + HEAD_END;
const ANSWER = Buffer.from(ANSWER_HEAD + BODY);
const METHOD_WITHOUT_BODY = "HEAD ";
const MAX_HEAD_BYTES = 64 * 1024;
/** A caller that neither sends nor closes for this long is disconnected. */
const IDLE_TIMEOUT_MILLISECONDS = 1_000;
/** The same for a caller that goes on sending. */
const LIFETIME_MILLISECONDS = 3_000;

/**
 * Answers the first request of a connection with 503 and closes the connection.
 * The request is not parsed, and its body is discarded. Bytes that were read
 * from the connection before are passed as `received`.
 */
export function sendConnectionRefusal(socket: Socket, received = ""): void {
  // Only the method and the last characters are kept of a head without an end.
  let method = "";
  let last = "";
  let length = 0;
  let isAnswered = false;
  socket.setTimeout(IDLE_TIMEOUT_MILLISECONDS, () => socket.destroy());
  const lifetime = setTimeout(() => socket.destroy(), LIFETIME_MILLISECONDS);
  socket.once("close", () => clearTimeout(lifetime));
  socket.on("error", () => socket.destroy());
  socket.on("end", () => isAnswered || socket.destroy());
  const receive = (text: string) => {
    const unread = last + text;
    method += text.slice(0, METHOD_WITHOUT_BODY.length - method.length);
    last = unread.slice(1 - HEAD_END.length);
    length += text.length;
    if (unread.includes(HEAD_END)) {
      isAnswered = true;
      socket.end(method === METHOD_WITHOUT_BODY ? ANSWER_HEAD : ANSWER);
    } else if (length > MAX_HEAD_BYTES) {
      socket.destroy();
    }
  };
  socket.on("data", (chunk: Uint8Array) => {
    if (!isAnswered) {
      receive(Buffer.from(chunk).toString("latin1"));
    }
  });
  receive(received);
  socket.resume();
}

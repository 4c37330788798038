/** Refuses connections without parsing their requests. */

import { Buffer } from "node:buffer";
import type { Socket } from "node:net";

const MILLISECONDS_PER_SECOND = 1_000;
const BODY = '{"error":"This VM has too many connections; not run"}\n';
const HEAD_END = "\r\n\r\n";
const ANSWER_START = [
  "HTTP/1.1 503 Service Unavailable",
  "content-type: application/json",
  `content-length: ${BODY.length}`,
  "connection: close",
  "retry-after: ",
].join("\r\n");
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
export function sendConnectionRefusal(
  socket: Socket,
  retryAfterMilliseconds: number,
  received = "",
): void {
  let head = received;
  let isAnswered = false;
  socket.setTimeout(IDLE_TIMEOUT_MILLISECONDS, () => socket.destroy());
  const lifetime = setTimeout(() => socket.destroy(), LIFETIME_MILLISECONDS);
  socket.once("close", () => clearTimeout(lifetime));
  socket.on("error", () => socket.destroy());
  socket.on("end", () => isAnswered || socket.destroy());
  const answerWhenHeadEnds = () => {
    if (head.includes(HEAD_END)) {
      isAnswered = true;
      const hasBody = !head.startsWith(METHOD_WITHOUT_BODY);
      const seconds = retryAfterMilliseconds / MILLISECONDS_PER_SECOND;
      const answerHead = ANSWER_START + seconds.toFixed(2) + HEAD_END;
      socket.end(hasBody ? answerHead + BODY : answerHead, "latin1");
      head = "";
    } else if (head.length > MAX_HEAD_BYTES) {
      socket.destroy();
    }
  };
  socket.on("data", (chunk: Uint8Array) => {
    if (!isAnswered) {
      head += Buffer.from(chunk).toString("latin1");
      answerWhenHeadEnds();
    }
  });
  answerWhenHeadEnds();
  socket.resume();
}

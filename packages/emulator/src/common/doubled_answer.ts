/** An answer that arrives twice on the same connection. */

import { Buffer } from "node:buffer";
import type { HeaderFields, HttpExchange } from "./http_exchange.ts";

/** Sends a JSON answer and then a second copy that nobody asked for. */
export function sendDoubledJson(
  exchange: HttpExchange,
  body: unknown,
  headers: HeaderFields,
): void {
  const text = JSON.stringify(body);
  const socket = exchange.request.socket;
  exchange.response.once("finish", () => {
    if (!socket.destroyed) {
      socket.write(formatAnswer(text, headers));
    }
  });
  exchange.sendJson(200, body, headers);
}

function formatAnswer(text: string, headers: HeaderFields): string {
  const lines = [
    "HTTP/1.1 200 OK",
    "content-type: application/json",
    `content-length: ${Buffer.byteLength(text)}`,
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
  ];
  return `${lines.join("\r\n")}\r\n\r\n${text}`;
}

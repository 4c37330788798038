/** Error responses to malformed requests, which no handler receives. */

import { Buffer } from "node:buffer";
import { randomUUID } from "node:crypto";
import { STATUS_CODES } from "node:http";
import type { Duplex } from "node:stream";
import { HeaderName } from "@rattanvane/platform";
import { buildErrorBody } from "./answer.ts";
import { CallerError, CallerErrorKind } from "./caller_error.ts";

/** Converts an error of the HTTP parser of Node.js to a CallerError. */
export function convertClientError(
  thrown: NodeJS.ErrnoException,
): CallerError {
  switch (thrown.code) {
    case "HPE_HEADER_OVERFLOW":
      return new CallerError(
        CallerErrorKind.HeadersTooLong,
        "The headers are too long",
      );
    case "ERR_HTTP_REQUEST_TIMEOUT":
      return new CallerError(
        CallerErrorKind.HeadersTooSlow,
        "The headers did not arrive in time",
      );
    default:
      return new CallerError(
        CallerErrorKind.MalformedRequest,
        "The request is not valid HTTP",
      );
  }
}

/**
 * Writes an error response to a connection and closes it. No other response
 * may have been started on the connection.
 */
export function sendClientError(socket: Duplex, error: CallerError): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const request = randomUUID();
  const body = `${JSON.stringify(buildErrorBody(error, request))}\n`;
  socket.end([
    `HTTP/1.1 ${error.status} ${STATUS_CODES[error.status] ?? "Error"}`,
    "connection: close",
    "content-type: application/json",
    `content-length: ${Buffer.byteLength(body)}`,
    `${HeaderName.RequestId}: ${request}`,
    `${HeaderName.Outcome}: ${error.outcome}`,
    "",
    body,
  ].join("\r\n"));
}

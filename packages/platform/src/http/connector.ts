/** Connections that tell a failed connect from a failed call. */

import { buildConnector } from "undici";

/** The connection was never made, so nothing was sent over it. */
export class ConnectError extends Error {
  constructor(cause: Error) {
    super(`Cannot connect: ${describeCause(cause)}`, { cause });
  }
}

function describeCause(cause: Error): string {
  const code = (cause as NodeJS.ErrnoException).code;
  return cause.message === "" ? code ?? cause.name : cause.message;
}

/** Creates a connector for undici whose failures are all ConnectErrors. */
export function createConnector(
  timeoutMilliseconds: number,
): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMilliseconds });
  return (options, callback) => {
    connect(options, (error, socket) => {
      if (error !== null) {
        callback(new ConnectError(error), null);
        return;
      }
      callback(null, socket);
    });
  };
}

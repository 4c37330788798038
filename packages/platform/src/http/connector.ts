/** Connections that distinguish a failed connect from a failed call. */

import { buildConnector } from "undici";

/** Thrown when the connection was never established, so nothing was sent. */
export class ConnectError extends Error {
  constructor(cause: Error) {
    super(`Cannot connect: ${describeCause(cause)}`, { cause });
  }
}

function describeCause(cause: Error): string {
  const code = (cause as NodeJS.ErrnoException).code;
  return cause.message === "" ? code ?? cause.name : cause.message;
}

/** Options of the connector. */
export interface ConnectorOptions {
  connectTimeoutMilliseconds: number;
  /** The local IP address to connect from; if empty, the system chooses it. */
  localAddress: string;
}

/** Creates an undici connector that reports every failure as a ConnectError. */
export function createConnector(
  options: ConnectorOptions,
): buildConnector.connector {
  const { localAddress, connectTimeoutMilliseconds } = options;
  const connect = buildConnector({
    timeout: connectTimeoutMilliseconds,
    // A write after the other side has ended tells whether that was a reset.
    allowHalfOpen: true,
  });
  // A `localAddress` field of the target, even an undefined one, overrides the
  // connector's, so it is set on the target.
  const source = localAddress === "" ? {} : { localAddress };
  return (target, callback) => {
    connect({ ...target, ...source }, (error, socket) => {
      if (error !== null) {
        callback(new ConnectError(error), null);
        return;
      }
      callback(null, socket);
    });
  };
}

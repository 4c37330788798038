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

/** How connections are made. */
export interface ConnectorOptions {
  connectTimeoutMilliseconds: number;
  /** The own IP number to connect from; empty lets the system choose. */
  localAddress: string;
}

/** Creates a connector for undici whose failures are all ConnectErrors. */
export function createConnector(
  options: ConnectorOptions,
): buildConnector.connector {
  const { localAddress, connectTimeoutMilliseconds } = options;
  const connect = buildConnector({ timeout: connectTimeoutMilliseconds });
  // The target's own field, though undefined, goes before the connector's.
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

/** Finds ports that no process listens on. */

import { once } from "node:events";
import { type AddressInfo, createServer, type Server } from "node:net";

/** Finds different free ports of a host. */
export async function findFreePorts(
  host: string,
  count: number,
): Promise<number[]> {
  const servers: Server[] = [];
  for (let index = 0; index < count; index++) {
    const server = createServer().listen(0, host);
    await once(server, "listening");
    servers.push(server);
  }
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  for (const server of servers) {
    server.close();
    await once(server, "close");
  }
  return ports;
}

/** Tests of where connections come from. */

import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import { Agent, request } from "undici";
import { createConnector } from "./connector.ts";

const OWN_ADDRESS = "127.1.2.3";
const CONNECT_TIMEOUT_MILLISECONDS = 1000;

describe("HTTP connector", () => {
  let server: Server;

  beforeEach(async () => {
    server = createServer((incoming, outgoing) => {
      outgoing.end(incoming.socket.remoteAddress);
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
  });

  afterEach(() => server.close());

  async function readSource(localAddress: string): Promise<string> {
    const agent = new Agent({
      connect: createConnector({
        localAddress,
        connectTimeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
      }),
    });
    const { port } = server.address() as AddressInfo;
    const url = `http://127.0.0.1:${port}/`;
    const response = await request(url, { dispatcher: agent });
    const source = await response.body.text();
    await agent.destroy();
    return source;
  }

  it("connects from the own address", async () => {
    expect(await readSource(OWN_ADDRESS)).to.equal(OWN_ADDRESS);
  });

  it("lets the system choose without one", async () => {
    expect(await readSource("")).to.equal("127.0.0.1");
  });
});

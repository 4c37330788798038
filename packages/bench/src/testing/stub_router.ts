/**
 * A program in a router's place, for tests of the launcher: it is ready, dials
 * where it is told from the IP number that it listens on, and logs that.
 */

import { readFileSync } from "node:fs";
import { createServer as createHttpServer } from "node:http";
import { connect, createServer } from "node:net";
import process from "node:process";
import { parse } from "yaml";

interface StubSettings {
  vm: string;
  listen: { host: string; callerPort: number; controlPort: number };
}

const settingsPath = process.argv.at(-1) ?? "";
const settings = parse(readFileSync(settingsPath, "utf8")) as StubSettings;
const { host, callerPort, controlPort } = settings.listen;

/** Connects and tells how that went. */
function connectTo(target: URL): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect({
      host: target.hostname,
      port: Number(target.port),
      localAddress: host,
    });
    let received = "";
    socket.on("data", (part) => {
      received += part;
    });
    socket.on("error", (error: NodeJS.ErrnoException) => {
      resolve(error.code ?? error.message);
    });
    socket.on("close", () => resolve(received));
  });
}

createServer((socket) => socket.end(settings.vm)).listen(controlPort, host);
createHttpServer(async (request, response) => {
  const url = new URL(request.url ?? "/", "http://localhost");
  const target = url.searchParams.get("dial");
  const outcome = target === null ? "ready" : await connectTo(new URL(target));
  process.stdout.write(`${JSON.stringify({ msg: "stub: served", outcome })}\n`);
  response.end(JSON.stringify({ outcome }));
}).listen(callerPort, host);

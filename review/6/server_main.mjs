/** The model server of the case: streams events, after it has read the prompt. */

import { ServerStandIn } from "../common-2/server.mjs";
import { tell } from "../common-2/server_process.mjs";

const { id, host, port, slots } = JSON.parse(process.argv[2]);
/** A figure of the site: the prompt tokens that are read in a millisecond. */
const TOKENS_PER_MILLISECOND = 64.2;
const EVENTS = 4;
const EVENT_MILLISECONDS = 50;

/** Prompts are read one after the other. */
let isRead = Promise.resolve();

function wait(milliseconds) {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

const server = new ServerStandIn({
  id,
  slots,
  report: tell,
  serve: async (server, { headers }, { socket }) => {
    const tokens = Number(headers["token-count"].split(",")[0]);
    isRead = isRead.then(() => wait(tokens / TOKENS_PER_MILLISECOND));
    await isRead;
    const attempt = headers["attempt-id"];
    const head = [
      "HTTP/1.1 200 OK",
      "Content-Type: text/event-stream",
      "Transfer-Encoding: chunked",
      `Server-Load: ${server.running},0,${slots}`,
      `Attempt-Id: ${attempt}`,
      `Server-Seal: ${server.buildSeal()}`,
    ].join("\r\n");
    socket.write(`${head}\r\n\r\n`);
    for (let event = 1; event <= EVENTS; event++) {
      const text = `id: ${event}\ndata: ${"x".repeat(60)}\n\n`;
      socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
      await wait(EVENT_MILLISECONDS);
    }
    socket.write("0\r\n\r\n");
    tell("answered", { attempt, server: id });
  },
});
tell("listening", { port: await server.listen(host, port) });

/** A server sends bytes without end, in small chunks, in place of an answer. */

import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { call, createAgent } from "../common/client.mjs";
import {
  buildConfiguration,
  HOST,
  KEY,
  PLAIN,
  SAFE,
  UNSAFE,
} from "../common/configuration.mjs";
import { Fleet, sleep } from "../common/fleet.mjs";
import { hasTrouble, runCase } from "../common/record.mjs";
import { Server } from "../common/server.mjs";
import { Store } from "../common/store.mjs";

const ZONES = ["bkk-a", "bkk-b", "bkk-c"];
const RAM_MB = 350;
/** LOST: "more than three times" at a machine. */
const ALLOWED_LOSSES = 3;
const WARM_UP_MS = 3_000;
const TROUBLE_MS = 50_000;
const REQUESTS_PER_SECOND = 120;
const SLOTS = 6;
const WORK_MS = 86;
/** One byte a chunk; 16 MB/s an answer, of the 125 MB/s of a machine's link. */
const ENDLESS_CHUNKS = Buffer.from("1\r\n0\r\n".repeat(10_000));
const ENDLESS_GAP_MS = 4;

const folder = dirname(fileURLToPath(import.meta.url));
const fleet = new Fleet();
const store = new Store();
const servers = [];
let isFaulty = false;

/** Sends a body without end until the caller closes. */
async function sendWithoutEnd({ response, headers }) {
  const { socket } = response;
  const head = Object.entries({ ...headers, "transfer-encoding": "chunked" })
    .map(([name, value]) => `${name}: ${value}\r\n`).join("");
  socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n`);
  while (!socket.destroyed) {
    if (socket.writableLength === 0) {
      socket.write(ENDLESS_CHUNKS);
    }
    await sleep(ENDLESS_GAP_MS);
  }
}

/** Answers a plain request after its work. */
async function sendWhole({ response, headers }) {
  await sleep(WORK_MS);
  response.writeHead(200, headers);
  response.end("y".repeat(800));
}

async function createServer(name, zone, answer) {
  const server = new Server({
    name,
    store,
    service: PLAIN,
    zone,
    slots: SLOTS,
    answer,
  });
  servers.push(server);
  await server.start("127.0.0.1");
}

async function play(record) {
  const storeAddress = await store.listen("127.0.0.1");
  store.write("op", "config", buildConfiguration(7));
  await createServer(
    "faulty",
    ZONES[0],
    (run) => isFaulty ? sendWithoutEnd(run) : sendWhole(run),
  );
  await createServer(`plain-${ZONES[1]}`, ZONES[1], sendWhole);
  await createServer(`plain-${ZONES[2]}`, ZONES[2], sendWhole);
  await fleet.create({ zones: ZONES, storeAddress, ramMb: RAM_MB });
  await fleet.start();
  await sleep(WARM_UP_MS);
  isFaulty = hasTrouble;
  record.add(hasTrouble ? "the server turns faulty" : "no disruption");
  const calls = [];
  const agents = fleet.vms.map(() => createAgent());
  const endsAt = Date.now() + TROUBLE_MS;
  for (let sequence = 0; Date.now() < endsAt; sequence++) {
    const index = sequence % fleet.vms.length;
    const vm = fleet.vms[index];
    const isSafe = sequence % 4 === 0;
    calls.push(call(vm.front, {
      agent: agents[index],
      host: HOST,
      key: KEY,
      method: isSafe ? "GET" : "POST",
      path: `${isSafe ? SAFE : UNSAFE}${sequence}/2f`,
      body: isSafe ? "" : `request ${sequence}`,
      deadline: 3_000,
    }));
    await sleep(1_000 / REQUESTS_PER_SECOND);
  }
  const done = await Promise.all(calls);
  record.addCalls(done);
  record.addRuns(servers);
  let isBroken = false;
  for (const vm of fleet.vms) {
    const lost = findLost(done.filter((each) => each.vm === vm.host));
    isBroken ||= lost.length > ALLOWED_LOSSES;
    record.add(
      `${vm.name}: ended by itself ${vm.ends.length - vm.exceeded.length} ` +
        `times (${[...new Set(vm.ends.map(({ signal }) => signal))]}), by ` +
        `the platform above ${RAM_MB} MB ${vm.exceeded.length} times; passed ` +
        "on from a kept connection to a sound server and closed without an " +
        `answer: ${lost.length}`,
    );
  }
  return !isBroken;
}

/** Requests from kept connections that ran at a sound server, unanswered. */
function findLost(calls) {
  const sound = new Set(
    servers.filter(({ name }) => name !== "faulty")
      .flatMap(({ runs }) => runs.map(({ attempt }) => attempt)),
  );
  return calls.filter(({ attempt, isKept, error, status }) =>
    isKept && sound.has(attempt) && status === undefined &&
    error !== undefined && error !== "deadline"
  );
}

await runCase(folder, play, async () => {
  await fleet.close();
  servers.forEach((server) => server.close());
  store.close();
});

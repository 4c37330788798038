/** A server sends bytes without end in place of a stream's events. */

import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { call, createAgent } from "../common/client.mjs";
import {
  buildConfiguration,
  buildPrompt,
  ENGINES,
  HOST,
  KEY,
  PLAIN,
  STREAM,
  UNSAFE,
} from "../common/configuration.mjs";
import { Fleet, sleep } from "../common/fleet.mjs";
import { hasTrouble, runCase } from "../common/record.mjs";
import { Server } from "../common/server.mjs";
import { Store } from "../common/store.mjs";

const ZONES = ["bkk-a", "bkk-b", "bkk-c"];
const RAM_MB = 350;
/** CONFIG: "Eight or more of them, and over a quarter". */
const LATE_COUNT = 8;
const LATE_SHARE = 0.25;
const LATE_MS = 500;
/** "two seconds, four times the objective or eight times that pause" */
const STREAM_GAP_MS = 2_400;
const PLAIN_TIMEOUT_MS = 1_500;
const WARM_UP_MS = 3_000;
const TROUBLE_MS = 15_000;
const REQUESTS_PER_SECOND = 72;
const EVENTS = 20;
const EVENT_GAP_MS = 50;
/** 16 MB/s a stream, of the 125 MB/s of a machine's link. */
const ENDLESS_CHUNK = Buffer.alloc(64 * 1024, "0\n");
const ENDLESS_GAP_MS = 4;

const folder = dirname(fileURLToPath(import.meta.url));
const fleet = new Fleet();
const store = new Store();
const servers = [];
let isFaulty = false;

/** Sends events with increasing ids until the stream is complete. */
async function sendStream({ response, headers }) {
  response.writeHead(200, { ...headers, "content-type": "text/event-stream" });
  for (let id = 1; id <= EVENTS && !response.destroyed; id++) {
    response.write(`id: ${id}\ndata: ${"t".repeat(80)}\n\n`);
    await sleep(EVENT_GAP_MS);
  }
  response.end();
}

/** Sends bytes that are no events until the caller closes. */
async function sendWithoutEnd({ response, headers }) {
  response.writeHead(200, { ...headers, "content-type": "text/event-stream" });
  while (!response.destroyed) {
    if (response.writableLength === 0) {
      response.write(ENDLESS_CHUNK);
    }
    await sleep(ENDLESS_GAP_MS);
  }
}

/** Answers a plain request after its work. */
async function sendWhole({ response, headers }) {
  await sleep(300);
  response.writeHead(200, headers);
  response.end("y".repeat(800));
}

async function createServer(name, service, zone, answer) {
  const slots = service === ENGINES ? 64 : 6;
  const server = new Server({ name, store, service, zone, slots, answer });
  servers.push(server);
  await server.start("127.0.0.1");
}

async function play(record) {
  const storeAddress = await store.listen("127.0.0.1");
  store.write("op", "config", buildConfiguration(7));
  for (const zone of ZONES) {
    await createServer(`plain-${zone}`, PLAIN, zone, sendWhole);
    await createServer(`engine-1-${zone}`, ENGINES, zone, sendStream);
  }
  await createServer(`engine-2-${ZONES[1]}`, ENGINES, ZONES[1], sendStream);
  await createServer(`engine-2-${ZONES[2]}`, ENGINES, ZONES[2], sendStream);
  await createServer(
    "faulty",
    ENGINES,
    ZONES[0],
    (run) => isFaulty ? sendWithoutEnd(run) : sendStream(run),
  );
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
    const isStream = sequence % 5 < 3;
    calls.push(call(vm.front, {
      agent: agents[index],
      host: HOST,
      key: KEY,
      path: isStream ? `${STREAM}2f` : `${UNSAFE}2f`,
      headers: isStream ? buildPrompt(sequence) : {},
      body: `request ${sequence}`,
      ...(isStream
        ? { deadline: 10_000, gap: STREAM_GAP_MS }
        : { deadline: 3_000 }),
    }));
    await sleep(1_000 / REQUESTS_PER_SECOND);
  }
  const done = await Promise.all(calls);
  record.addCalls(done);
  record.addRuns(servers);
  // Clients leave streams before the timeout of these.
  const plain = done.filter(({ path }) => path.startsWith(UNSAFE));
  const past = plain.filter(({ sentAt, endedAt }) =>
    endedAt > sentAt + PLAIN_TIMEOUT_MS
  );
  const late = past.filter(({ sentAt, endedAt }) =>
    endedAt > sentAt + PLAIN_TIMEOUT_MS + LATE_MS
  );
  for (const vm of fleet.vms) {
    record.add(
      `${vm.name}: highest resident memory ${vm.highestRssMb.toFixed(0)} MB ` +
        `of ${RAM_MB} MB, ended for that ${vm.exceeded.length} times`,
    );
  }
  record.add(
    `plain requests: ${plain.length}; unanswered at the route's timeout: ` +
      `${past.length}; 0.5 s after it: ${late.length}`,
  );
  return late.length < LATE_COUNT || late.length <= past.length * LATE_SHARE;
}

await runCase(folder, play, async () => {
  await fleet.close();
  servers.forEach((server) => server.close());
  store.close();
});

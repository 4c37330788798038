/** A request crashes each server that begins to run it and comes again. */

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
/** Two VMs in each zone. */
const VM_ZONES = [...ZONES, ...ZONES];
const RAM_MB = 350;
const CONTACT_MS = 3_000;
/** BUDGET: the bound counts from the third crash. */
const COUNTED_CRASH = 3;
/** BUDGET: "in more than three retries". */
const ALLOWED_RETRIES = 3;
const WARM_UP_MS = 3_000;
const DURATION_MS = 70_000;
const REQUESTS_PER_SECOND = 20;
const REPEAT_MS = 4_000;
/** "the server is back after some seconds" */
const DOWN_MS = 3_000;
/** A silent server's entry is removed after three heartbeat intervals. */
const LAPSE_MS = 3_600;
const WORK_MS = 60;
const CRASHING_BODY = "the request that crashes servers";

const folder = dirname(fileURLToPath(import.meta.url));
const fleet = new Fleet();
const store = new Store();
const servers = [];
const crashes = [];
let isOver = false;

async function sendWhole({ response, headers }) {
  await sleep(WORK_MS);
  response.writeHead(200, headers);
  response.end("y".repeat(800));
}

async function startServer(zone, port) {
  const server = new Server({
    name: `plain-${zone}`,
    store,
    service: PLAIN,
    zone,
    slots: 6,
    answer: (run) => {
      run.run.isCrashing = run.body.toString() === CRASHING_BODY;
      if (hasTrouble && run.run.isCrashing) {
        void crash(server, zone);
      } else {
        void sendWhole(run);
      }
    },
  });
  servers.push(server);
  await server.start("127.0.0.1", port);
}

/** Ends a server; another process with a new id follows at its address. */
async function crash(server, zone) {
  crashes.push(Date.now());
  server.crash();
  setTimeout(() => store.remove("servers", server.id), LAPSE_MS);
  await sleep(DOWN_MS);
  if (!isOver) {
    await startServer(zone, Number(server.address.split(":")[1]));
  }
}

async function sendOthers(endsAt) {
  const agents = fleet.vms.map(() => createAgent());
  const calls = [];
  for (let sequence = 0; Date.now() < endsAt; sequence++) {
    const index = sequence % fleet.vms.length;
    const isSafe = sequence % 4 === 0;
    calls.push(call(fleet.vms[index].front, {
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
  return await Promise.all(calls);
}

async function sendCrashing(endsAt) {
  const calls = [];
  for (let sequence = 0; Date.now() < endsAt; sequence++) {
    calls.push(
      await call(fleet.vms[sequence % fleet.vms.length].front, {
        agent: createAgent(),
        host: HOST,
        key: KEY,
        path: `${UNSAFE}crashing/2f`,
        body: CRASHING_BODY,
        deadline: 3_000,
      }),
    );
    await sleep(REPEAT_MS);
  }
  return calls;
}

async function play(record) {
  const storeAddress = await store.listen("127.0.0.1");
  store.write("op", "config", buildConfiguration(7));
  for (const zone of ZONES) {
    await startServer(zone, 0);
  }
  await fleet.create({ zones: VM_ZONES, storeAddress, ramMb: RAM_MB });
  await fleet.start();
  await sleep(WARM_UP_MS);
  const endsAt = Date.now() + DURATION_MS;
  const [others, crashing] = await Promise.all([
    sendOthers(endsAt),
    sendCrashing(endsAt),
  ]);
  isOver = true;
  record.addCalls(crashing);
  record.addCalls(others);
  record.addRuns(servers);
  const from = (crashes[COUNTED_CRASH - 1] ?? Infinity) + CONTACT_MS;
  const arrivals = servers.flatMap(({ runs }) => runs)
    .filter(({ isCrashing, at }) => isCrashing && at > from);
  record.add(
    `sent ${crashing.length} times; crashes: ${crashes.length}; at servers ` +
      `later than ${CONTACT_MS} ms after the third crash: ${arrivals.length}`,
  );
  const lost = others.filter(({ error, status }) =>
    error !== undefined || status === 502
  );
  record.add(`other requests lost or answered 502: ${lost.length}`);
  return arrivals.length <= ALLOWED_RETRIES;
}

await runCase(folder, play, async () => {
  isOver = true;
  await fleet.close();
  servers.forEach((server) => server.close());
  store.close();
});

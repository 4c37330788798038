/**
 * A VM freezes for seconds while requests of its clients wait at the scheduler,
 * another VM of its zone. It wakes again, and never answers some of them.
 */

import { join } from "node:path";
import { sendRequest } from "../common-2/client.mjs";
import { buildConfiguration, startFleet } from "../common-2/fleet.mjs";
import { finish, openRecord, record, wait } from "../common-2/record.mjs";
import { ServerProcess } from "../common-2/server_process.mjs";
import { Store } from "../common-2/store.mjs";

const folder = import.meta.dirname;
/** TROUBLE=0 leaves the disruption out. */
const hasTrouble = process.env.TROUBLE !== "0";
/** What the site states: how long machines freeze, and the route's times. */
const FREEZE_MILLISECONDS = 3_500;
const TIMEOUT_MILLISECONDS = 15_000;
const SLACK_MILLISECONDS = 500;
const NAMES = ["kano-depot", "maiduguri-depot", "yola-depot", "sokoto-depot"];
/** A few of the site's 90 machines; more in a zone than schedule requests. */
const ZONES = [
  ...Array(4).fill("kano-depot"),
  "maiduguri-depot",
  "yola-depot",
  "sokoto-depot",
];
const SERVICE = "patch-assistant";
/** Requests for long plans that come at one moment, and how often they do. */
const PROMPTS = 24;
const ROUNDS = 5;
const TOKENS = 54_000;
/** Requests without a final answer that break the rule. */
const MIN_UNANSWERED = 8;

openRecord(join(folder, "record.txt"));
record(hasTrouble ? "with the disruption" : "without the disruption");
const store = new Store();
const storeAddress = await store.start("127.10.0.7");
store.write(
  "op",
  "config",
  buildConfiguration({
    routes: [{
      name: "patch-plan",
      prefix: "/plan/",
      type: "streaming",
      timeout_ms: TIMEOUT_MILLISECONDS,
      slo_ms: 1_000,
      itl_target_ms: 400,
      affinity: true,
      service: SERVICE,
    }],
    services: [{
      name: SERVICE,
      runtime: { slot_count: 64, kv_cap: 363_647 },
    }],
  }),
);
const arrived = new Set();
for (const [index, zone] of NAMES.entries()) {
  const id = `i-${index}`;
  const server = new ServerProcess({
    module: join(folder, "server_main.mjs"),
    options: { id, host: `127.30.${index}.9`, port: 0, slots: 64 },
    onReport: ({ event, attempt }) => event === "run" && arrived.add(attempt),
  });
  await server.start();
  store.write("servers", id, server.buildEntry({ service: SERVICE, zone }));
}
const vms = await startFleet({
  zones: ZONES,
  names: NAMES,
  region: "ng-north",
  store: storeAddress,
  settings: {
    "bounds.contact_ms": 4_000,
    "bounds.drain_timeout_ms": 3_000,
    "bounds.apply_ms": 3_000,
    "bounds.retry_extra": 220,
  },
});
await wait(2_000);
const frozen = vms.find(({ lines }) =>
  lines.findLast((line) => line.includes("schedulers of this zone changed"))
    ?.includes('"isScheduler":false')
);
if (frozen === undefined) {
  finish(2, "no VM has its requests scheduled by another one");
}

function send(vm, tokens) {
  const part = Math.random().toString(16).slice(2, 10);
  return sendRequest(vm, {
    path: "/plan/tent",
    deadline: TIMEOUT_MILLISECONDS + 3_000,
    headers: {
      Model: "m",
      "Token-Count": `${tokens},80`,
      "Prefix-Hash": `5c1e07a2:512,${part}:${tokens - 512}`,
    },
  }).then((result) => {
    const { attempt, vm, status, end, isComplete, milliseconds } = result;
    record("answer", { attempt, vm, status, end, isComplete, milliseconds });
    return result;
  });
}

const warmUps = await Promise.all(vms.map((vm) => send(vm, 1_000)));
if (warmUps.some(({ isComplete }) => !isComplete)) {
  finish(2, "not all VMs serve");
}
const results = [];
for (let round = 1; round <= ROUNDS; round++) {
  const calls = Array.from({ length: PROMPTS }, () => send(frozen, TOKENS));
  await wait(100);
  if (hasTrouble) {
    frozen.signal("SIGSTOP");
    await wait(FREEZE_MILLISECONDS);
    frozen.signal("SIGCONT");
  }
  results.push(...await Promise.all(calls));
}
const late = results.filter(({ milliseconds, end }) =>
  milliseconds > TIMEOUT_MILLISECONDS + SLACK_MILLISECONDS &&
  end === "gave up"
);
const open = results.filter(({ milliseconds }) =>
  milliseconds > TIMEOUT_MILLISECONDS
);
for (const { attempt, status } of late) {
  const wasSent = arrived.has(attempt);
  record("BROKEN: no final answer", { attempt, status, wasSent });
}
record("requests", {
  sent: results.length,
  served: results.filter(({ isComplete, status }) =>
    isComplete && status === 200
  ).length,
  unansweredAtTimeout: open.length,
  neverAnswered: late.length,
});
finish(
  late.length >= MIN_UNANSWERED && late.length > open.length / 2 ? 1 : 0,
  `${late.length} of ${results.length} requests were never answered`,
);

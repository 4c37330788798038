import process from "node:process";
import { RandomSource } from "@rattanvane/base";
import { OperationKind } from "@rattanvane/configuration";
import { INVALID_HEADS } from "@rattanvane/platform/testing";
import { expect } from "chai";
import { after, before, describe, it } from "mocha";
import { MODEL_SERVICE, PLAIN_SERVICE } from "../fleet/fleet_options.ts";
import { generateDatedKey } from "../load/dated_key.ts";
import type { PlainResult } from "../load/plain_caller.ts";
import { type RawAnswer, RawEndpoint } from "../testing/raw_endpoint.ts";
import { type ProofFleet, startProofFleet } from "./proof_fleet.ts";

const OK = 200;
const SERVER_ERROR = 500;
const MAX_STATUS = 599;
const VM = "vm-a1";
const UPLOAD_BYTES = 900_000;
const DEADLINE_HEADERS = { "x-deadline-ms": "1000" };
const SOUND_ANSWER: RawAnswer = {
  bytes:
    "HTTP/1.1 200 OK\r\nx-attempt-id: ATTEMPT\r\ncontent-length: 0\r\n\r\n",
};
const SOAK_ROUNDS = 8;
const INVALID_HEAD_SHARE = 0.3;
const MAX_RESET_DELAY_MILLISECONDS = 80;
const NOT_RUN = "not_run";
/** What the endpoint has sent when it breaks off, a whole answer of an engine. */
const PART =
  'id: 1\ndata: {"choices":[{"text":"x","finish_reason":"stop"}]}\n\n' +
  "data: [DONE]\n\n";
const HEAD = "x-attempt-id: ATTEMPT\r\ncontent-type: text/event-stream\r\n";

/** What a caller got. */
interface Received {
  isComplete: boolean;
  outcome: string;
  problem: string;
}

function isServerError(status: number): boolean {
  return status >= SERVER_ERROR && status <= MAX_STATUS;
}

/** Sends one call of a kind of route. */
type SendCall = (proof: ProofFleet, body: string) => Promise<Received>;

async function sendCompletion(
  proof: ProofFleet,
  call: { isStream: boolean; body: string },
): Promise<Received> {
  const record = await proof.sendText({
    vm: VM,
    prompt: call.body,
    tokens: 1,
    isStream: call.isStream,
    headers: DEADLINE_HEADERS,
  });
  const { outcome, problem, status } = record;
  // An error ends a stream that has begun.
  const isComplete = status === OK ? problem === "" : !isServerError(status);
  return { isComplete, outcome, problem };
}

async function sendPlain(
  proof: ProofFleet,
  call: { method: string; body?: string; key?: string },
): Promise<Received> {
  const { method, body, key } = call;
  const result: PlainResult = await proof.createPlainCaller().send({
    url: proof.fleet.router(VM).callerUrl,
    service: PLAIN_SERVICE,
    method,
    path: "/print",
    headers: DEADLINE_HEADERS,
    ...(body === undefined ? {} : { body }),
    ...(key === undefined ? {} : { key }),
  }, proof.signal);
  const { status, outcome, text } = result;
  return { isComplete: !isServerError(status), outcome, problem: text };
}

const KINDS: Record<string, SendCall> = {
  "a completion as a stream": (proof, body) =>
    sendCompletion(proof, { isStream: true, body }),
  "a completion as a whole": (proof, body) =>
    sendCompletion(proof, { isStream: false, body }),
  "a call that may be repeated": (proof, body) =>
    sendPlain(proof, { method: "PUT", body }),
  "a call with a key of the caller": (proof, body) =>
    sendPlain(proof, {
      method: "POST",
      body,
      key: generateDatedKey(Date.now()),
    }),
  "a call with an issued key": async (proof, body) =>
    sendPlain(proof, { method: "POST", body, key: await proof.issueKey(VM) }),
};

const ANSWERS: Record<string, RawAnswer> = Object.fromEntries([
  ...[0, 5, 50].map((resetAfterMilliseconds) => [
    `an answer without a length that is reset after ${resetAfterMilliseconds} ms`,
    {
      bytes: `HTTP/1.1 200 OK\r\n${HEAD}\r\n${PART}`,
      resetAfterMilliseconds,
    },
  ]),
  ...["000", "099", "600", "999"].map((status) => [
    `an answer with the status ${status}`,
    {
      bytes: `HTTP/1.1 ${status} OK\r\n${HEAD}` +
        `content-length: ${PART.length}\r\n\r\n${PART}`,
    },
  ]),
  ...Object.entries(INVALID_HEADS).map(([fault, formatAnswer]) => [
    `an answer with ${fault}`,
    { bytes: formatAnswer({ fields: HEAD, body: PART }) },
  ]),
  [
    "an answer with a blank in the name of a trailer field",
    {
      bytes: `HTTP/1.1 200 OK\r\n${HEAD}transfer-encoding: chunked\r\n\r\n` +
        `${PART.length.toString(16)}\r\n${PART}\r\n0\r\nx bad: 1\r\n\r\n`,
    },
  ],
]);

/** Lists the seeds from "101-150" in the environment, or a few for CI. */
function listSeeds(): number[] {
  const range = /^(\d+)-(\d+)$/.exec(process.env["SOAK_SEEDS"] ?? "");
  const [first = 1, last = 3] = range?.slice(1).map(Number) ?? [];
  return Array.from({ length: last - first + 1 }, (_, index) => first + index);
}

/** Generates an answer that is broken in its head, or before its end. */
function generateBrokenAnswer(random: RandomSource): RawAnswer {
  const formatInvalid = random.pick(Object.values(INVALID_HEADS));
  if (
    formatInvalid !== undefined && random.nextFraction() < INVALID_HEAD_SHARE
  ) {
    return { bytes: formatInvalid({ fields: HEAD, body: PART }) };
  }
  const version = random.pick(["1.0", "1.1"]) ?? "";
  const close = random.pick(["", "connection: close\r\n"]) ?? "";
  const framing = random.pick(["", `content-length: ${PART.length + 1}\r\n`]);
  return {
    bytes: `HTTP/${version} 200 OK\r\n${close}${HEAD}${framing}\r\n` +
      PART.slice(0, random.nextInteger(0, PART.length)),
    resetAfterMilliseconds: random.nextInteger(0, MAX_RESET_DELAY_MILLISECONDS),
  };
}

describe("broken answers of endpoints", () => {
  const end = new AbortController();
  let proof: ProofFleet;
  let endpoint: RawEndpoint;
  let bodies = 0;

  before(async () => {
    endpoint = await RawEndpoint.start(end.signal);
    proof = await startProofFleet({
      zones: ["zone-a"],
      routersPerZone: 1,
      enginesPerZone: 0,
      plainServicesPerZone: 0,
      proxied: false,
    }, end.signal);
    await proof.fleet.parts.configurator.append(
      [MODEL_SERVICE, PLAIN_SERVICE].map((service) => ({
        kind: OperationKind.PutEndpoint,
        endpoint: {
          name: `raw-${service}`,
          zone: "zone-a",
          service,
          url: `${endpoint.url}/${service}`,
          coldLimit: 8,
          limitCeiling: 8,
          drained: false,
          checksFencing: false,
        },
      })),
    );
    endpoint.answer = SOUND_ANSWER;
    await proof.wait("the VM uses the endpoints", async () => {
      await sendCompletion(proof, { isStream: false, body: "x" });
      return (await sendPlain(proof, { method: "PUT" })).isComplete;
    });
  });

  after(async () => {
    await proof.stop();
    end.abort();
  });

  for (const [broken, answer] of Object.entries(ANSWERS)) {
    for (const [kind, sendCall] of Object.entries(KINDS)) {
      it(`${broken} reaches no caller of ${kind}`, async () => {
        endpoint.answer = answer;
        for (const bytes of [100, UPLOAD_BYTES]) {
          endpoint.requests = 0;
          // The router quarantines a body that has crashed endpoints.
          const body = String(++bodies).padEnd(bytes, "x");
          const received = await sendCall(proof, body);
          expect(endpoint.requests, received.problem).to.be.above(0);
          expect(received.isComplete, received.problem).to.equal(false);
          expect(received.outcome).to.not.equal(NOT_RUN);
        }
      });
    }
  }

  for (const seed of listSeeds()) {
    it(`reach no caller of several calls at once (seed ${seed})`, async () => {
      const random = new RandomSource(seed);
      endpoint.requests = 0;
      for (let round = 0; round < SOAK_ROUNDS; round++) {
        endpoint.answer = generateBrokenAnswer(random);
        const calls = Object.entries(KINDS).map(async ([kind, sendCall]) => {
          const bytes = random.nextInteger(0, UPLOAD_BYTES);
          const received = await sendCall(
            proof,
            String(++bodies).padEnd(bytes, "x"),
          );
          const shown = `${kind}: ${JSON.stringify(endpoint.answer)}`;
          expect(received.isComplete, shown).to.equal(false);
        });
        await Promise.all(calls);
      }
      expect(endpoint.requests).to.be.above(SOAK_ROUNDS);
    });
  }
});

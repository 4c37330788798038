import { connect } from "node:net";
import { expect } from "chai";
import { after, before, describe, it } from "mocha";
import { type ProofFleet, startProofFleet } from "./proof_fleet.ts";

const BODY_LIMIT_BYTES = 2_048;
const SLOW_MILLISECONDS = 400;

interface BadCase {
  title: string;
  /** The request as bytes; KEY stands for a good key. */
  request: string;
  status: number;
  kind: string;
  /** `not_run` unless given. */
  outcome?: string;
}

const COMPLETION = "POST /v1/completions HTTP/1.1\r\nhost: x\r\n";
const GOOD_KEY = "authorization: Bearer KEY\r\n";
const PRINT = "POST /services/orders/print HTTP/1.1\r\nhost: x\r\n";

function buildCompletion(body: string, headers = GOOD_KEY): string {
  return `${COMPLETION}${headers}content-length: ${body.length}\r\n\r\n${body}`;
}

const CASES: BadCase[] = [
  {
    title: "no key",
    request: buildCompletion("{}", ""),
    status: 401,
    kind: "missing_key",
  },
  {
    title: "a wrong key",
    request: buildCompletion("{}", "authorization: Bearer nobody\r\n"),
    status: 401,
    kind: "wrong_key",
  },
  {
    title: "another scheme than bearer",
    request: buildCompletion("{}", "authorization: Basic eDp5\r\n"),
    status: 401,
    kind: "wrong_key",
  },
  {
    title: "an unknown path",
    request: "GET /nothing HTTP/1.1\r\nhost: x\r\n\r\n",
    status: 404,
    kind: "not_found",
  },
  {
    title: "a wrong method",
    request: "PUT /v1/completions HTTP/1.1\r\nhost: x\r\n\r\n",
    status: 405,
    kind: "method_not_allowed",
  },
  {
    title: "an unknown model",
    request: buildCompletion('{"model":"none","prompt":"x"}'),
    status: 404,
    kind: "unknown_service",
  },
  {
    title: "an unknown service",
    request: `GET /services/none/x HTTP/1.1\r\nhost: x\r\n${GOOD_KEY}\r\n`,
    status: 404,
    kind: "unknown_service",
  },
  {
    title: "an unknown service for a call with a key",
    request: `POST /services/none/print HTTP/1.1\r\nhost: x\r\n${GOOD_KEY}` +
      "idempotency-key: 01985e2c-7b40-7000-8000-5f0c6d1e2a3b\r\n" +
      "content-length: 0\r\n\r\n",
    status: 404,
    kind: "unknown_service",
    outcome: "unknown",
  },
  {
    title: "a body that is not JSON",
    request: buildCompletion("{"),
    status: 400,
    kind: "malformed_body",
  },
  {
    title: "a body that is no object",
    request: buildCompletion("[]"),
    status: 400,
    kind: "malformed_body",
  },
  {
    title: "a body with a wrong field",
    request: buildCompletion('{"model":"assistant","prompt":7}'),
    status: 400,
    kind: "malformed_body",
  },
  {
    title: "an over-long body that says so",
    request: buildCompletion("x".repeat(BODY_LIMIT_BYTES + 1)),
    status: 413,
    kind: "body_too_long",
  },
  {
    title: "an over-long body in chunks",
    request: `${COMPLETION}${GOOD_KEY}transfer-encoding: chunked\r\n\r\n` +
      `1000\r\n${"x".repeat(4_096)}\r\n0\r\n\r\n`,
    status: 413,
    kind: "body_too_long",
  },
  {
    title: "a sender that stops in the body",
    request: `${COMPLETION}${GOOD_KEY}content-length: 100\r\n\r\n{`,
    status: 408,
    kind: "body_too_slow",
  },
  {
    title: "a sender that stops in the headers",
    request: `${COMPLETION}authoriz`,
    status: 408,
    kind: "headers_too_slow",
  },
  {
    title: "a deadline that is no number",
    request: buildCompletion(
      '{"model":"assistant","prompt":"x"}',
      `${GOOD_KEY}x-deadline-ms: soon\r\n`,
    ),
    status: 400,
    kind: "malformed_header",
  },
  {
    title: "a job with an empty key",
    request: `${PRINT}${GOOD_KEY}idempotency-key: \r\n` +
      'content-length: 11\r\n\r\n{"job":"j"}',
    status: 400,
    kind: "malformed_header",
  },
  {
    title: "oversized headers",
    request: `${COMPLETION}x-long: ${"x".repeat(20_000)}\r\n\r\n`,
    status: 431,
    kind: "headers_too_long",
  },
  {
    title: "bytes that are not HTTP",
    request: "hello\r\n\r\n",
    status: 400,
    kind: "malformed_request",
  },
  {
    title: "a body in chunks that are none",
    request: `${COMPLETION}${GOOD_KEY}transfer-encoding: chunked\r\n\r\n` +
      "nonsense\r\n",
    status: 400,
    kind: "malformed_request",
  },
  {
    title: "an event id that is none",
    request: `GET /v1/streams/x HTTP/1.1\r\nhost: x\r\n${GOOD_KEY}` +
      "last-event-id: x\r\n\r\n",
    status: 400,
    kind: "malformed_header",
  },
  {
    title: "a stream id that nobody made",
    request: `GET /v1/streams/x.y HTTP/1.1\r\nhost: x\r\n${GOOD_KEY}\r\n`,
    status: 410,
    kind: "stream_gone",
  },
];

describe("bad input at the caller port", () => {
  const end = new AbortController();
  let proof: ProofFleet;

  before(async () => {
    proof = await startProofFleet({
      zones: ["zone-a"],
      routersPerZone: 1,
      proxied: false,
      routerSettings: {
        limits: {
          bodyBytes: BODY_LIMIT_BYTES,
          bodyTimeoutMilliseconds: SLOW_MILLISECONDS,
          headersTimeoutMilliseconds: SLOW_MILLISECONDS,
        },
      },
    }, end.signal);
  });

  after(async () => {
    await proof?.stop();
    end.abort();
  });

  for (const { title, request, status, kind, outcome } of CASES) {
    it(`answers ${title} with ${status} ${kind}`, async () => {
      const answer = await sendBytes(proof, request);
      expect(answer.status, answer.text).to.equal(status);
      const { error } = JSON.parse(answer.text);
      expect(error.kind).to.equal(kind);
      expect(error.remedy).to.be.a("string").that.is.not.empty;
      expect(error.outcome).to.equal(outcome ?? "not_run");
      expect(proof.fleet.router("vm-a1").process.isRunning).to.equal(true);
    });
  }

  it("never answers a running request with what came behind it", async () => {
    const body = JSON.stringify({
      model: "assistant",
      prompt: "running [tokens:40]",
      max_tokens: 40,
    });
    const before = await proof.sumEngines("started");
    const request = `${buildCompletion(body)}nonsense\r\n\r\n`;
    const answer = await sendBytes(proof, request);
    expect(answer.text).to.not.include("not_run");
    expect(await proof.sumEngines("started")).to.be.at.least(before);
  });

  it("goes on serving after all of it", async () => {
    const call = { vm: "vm-a1", prompt: "after", tokens: 3 };
    const record = await proof.sendText(call);
    expect(record.verdict, record.problem).to.equal("whole");
    const failures = proof.fleet.findLogLines({
      sentence: "a request failed in the router",
    });
    expect(failures).to.deep.equal([]);
  });
});

/** Sends bytes as they are and reads the answer to the end. */
async function sendBytes(
  proof: ProofFleet,
  text: string,
): Promise<{ status: number; text: string }> {
  const { host, callerPort } = proof.fleet.router("vm-a1").plan;
  const socket = connect({ host, port: callerPort });
  const { key } = proof.findOrganisation();
  socket.write(text.replace("KEY", key));
  let received = "";
  for await (const part of socket) {
    received += part;
    if (isWholeAnswer(received)) {
      break;
    }
  }
  socket.destroy();
  const [head = "", body = ""] = received.split("\r\n\r\n", 2);
  return { status: Number(head.split(" ")[1]), text: body };
}

function isWholeAnswer(received: string): boolean {
  const [head = "", body] = received.split("\r\n\r\n", 2);
  const length = /content-length: (\d+)/i.exec(head)?.[1];
  return body !== undefined && body.length >= Number(length ?? Infinity);
}

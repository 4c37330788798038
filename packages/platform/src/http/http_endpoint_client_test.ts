import { ManualClock } from "@rattanvane/base";
import { expect } from "chai";
import { afterEach, describe, it } from "mocha";
import type {
  EndpointAddress,
  EndpointRequest,
  EndpointResponse,
} from "../endpoint_client.ts";
import { EndpointError, EndpointErrorKind } from "../endpoint_error.ts";
import {
  createAnswer,
  createCutChunked,
  createRawAnswer,
  createResetMidBody,
  type FaultServer,
  findClosedUrl,
  neverAnswer,
  RawEnd,
  type RequestHandler,
  resetBeforeHeaders,
  startEarlyServer,
  startFaultServer,
} from "./fault_server_fixture.ts";
import { INVALID_HEADS } from "../testing/invalid_heads.ts";
import { HttpEndpointClient } from "./http_endpoint_client.ts";

const { NotSent, Refused, Lost, TimedOut, CrossedAnswer, Cancelled } =
  EndpointErrorKind;
const { BadResponse } = EndpointErrorKind;
const signal = new AbortController().signal;
const OWN = { "x-attempt-id": "t1", "x-boot-id": "b1" };
/** Without a length, chunks or the empty line. */
const UNFRAMED_HEAD = "HTTP/1.1 200 OK\r\nx-attempt-id: t1\r\n";
const INVALID_STATUSES = ["000", "099", "600", "999", "20", "2000", "abc"];
const REQUEST: EndpointRequest = {
  attempt: "t1",
  method: "POST",
  path: "/v1/completions",
  headers: [
    { name: "Connection", value: "close" },
    { name: "X-Attempt-Id", value: "forged" },
    { name: "content-type", value: "application/json" },
  ],
  body: new TextEncoder().encode("{}"),
  firstByteTimeoutMilliseconds: 100,
  idleTimeoutMilliseconds: 50,
};

async function collectText(response: EndpointResponse): Promise<string> {
  let text = "";
  for await (const chunk of response.body) {
    text += new TextDecoder().decode(chunk);
  }
  return text;
}

async function findBodyError(response: EndpointResponse): Promise<unknown> {
  try {
    await collectText(response);
    return undefined;
  } catch (thrown) {
    return thrown instanceof EndpointError ? thrown.kind : thrown;
  }
}

async function findSendError(
  client: HttpEndpointClient,
  { address, request }: { address: EndpointAddress; request: EndpointRequest },
): Promise<unknown> {
  const result = await client.send(address, request, signal);
  return result.isErr() ? result.error.kind : await findBodyError(result.value);
}

describe("HttpEndpointClient", () => {
  const servers: FaultServer[] = [];

  afterEach(async () => {
    await Promise.all(servers.splice(0).map((server) => server.close()));
  });

  function createClient(clock = new ManualClock()) {
    return new HttpEndpointClient({ clock }, signal);
  }

  async function createFixture(...handlers: RequestHandler[]) {
    const server = await startFaultServer(...handlers);
    servers.push(server);
    const clock = new ManualClock();
    const client = createClient(clock);
    const address = { endpoint: "e1", url: server.url };
    return { server, clock, client, address };
  }

  const headCases: [string, RequestHandler, EndpointErrorKind][] = [
    ["a reset before headers", resetBeforeHeaders, Lost],
    [
      "another attempt's id",
      createAnswer(200, "", { "x-attempt-id": "t2" }),
      CrossedAnswer,
    ],
    ["no attempt id", createAnswer(200, ""), CrossedAnswer],
    [
      "a refusal",
      createAnswer(503, "", { ...OWN, "x-outcome": "not_run" }),
      Refused,
    ],
    [
      "another attempt's refusal",
      createAnswer(503, "", { "x-outcome": "not_run", "x-attempt-id": "t2" }),
      CrossedAnswer,
    ],
    [
      "a refusal without attempt id",
      createAnswer(503, "", { "x-outcome": "not_run" }),
      CrossedAnswer,
    ],
  ];
  for (const [fault, handler, kind] of headCases) {
    it(`reports ${fault} as ${kind} and sends once`, async () => {
      const { server, client, address } = await createFixture(handler);
      const result = await client.send(address, REQUEST, signal);
      expect(result._unsafeUnwrapErr().kind).to.equal(kind);
      expect(server.requests.length).to.equal(1);
    });
  }

  it("reports a refused connection as not sent", async () => {
    const client = new HttpEndpointClient(
      { clock: new ManualClock() },
      signal,
    );
    const address = { endpoint: "e1", url: await findClosedUrl() };
    const result = await client.send(address, REQUEST, signal);
    expect(result._unsafeUnwrapErr().kind).to.equal(NotSent);
  });

  it("passes a 503 without an outcome on as an answer", async () => {
    const { client, address } = await createFixture(
      createAnswer(503, "busy", OWN),
    );
    const result = await client.send(address, REQUEST, signal);
    expect(result._unsafeUnwrap().status).to.equal(503);
    expect(await collectText(result._unsafeUnwrap())).to.equal("busy");
  });

  it("sends its own attempt id and no connection headers", async () => {
    const { server, client, address } = await createFixture(
      createAnswer(200, "whole", OWN),
    );
    const response = (await client.send(address, REQUEST, signal))
      ._unsafeUnwrap();
    expect(await collectText(response)).to.equal("whole");
    expect(response.bootId).to.equal("b1");
    const { headers } = server.requests[0] as { headers: unknown };
    expect(headers).to.include({ "x-attempt-id": "t1" });
    expect(headers).to.include({ connection: "keep-alive" });
  });

  const short = { ...OWN, "content-length": "100" };
  const bodyCases: [string, RequestHandler][] = [
    ["is reset", createResetMidBody(OWN)],
    ["is reset at its announced length", createResetMidBody(short)],
    [
      "is reset on a closing connection",
      createResetMidBody({
        ...OWN,
        connection: "close",
      }),
    ],
    ["ends without its last chunk", createCutChunked(OWN)],
    ["ends before its announced length", createCutChunked(short)],
  ];
  for (const [fault, handler] of bodyCases) {
    it(`throws when the body ${fault}`, async () => {
      const { client, address } = await createFixture(handler);
      const result = await client.send(address, REQUEST, signal);
      const kind = result.isErr()
        ? result.error.kind
        : await findBodyError(result.value);
      expect(kind).to.equal(Lost);
    });
  }

  for (const bytes of [100, 300_000, 3_000_000]) {
    for (const delayMilliseconds of [0, 5, 50]) {
      for (const fields of ["", "connection: close\r\n"]) {
        const connection = fields === "" ? "kept" : "closing";
        it(`throws when an answer without a length is reset after ${delayMilliseconds} ms, ${bytes} bytes of request, ${connection} connection`, async () => {
          const server = await startEarlyServer(
            createRawAnswer(`${UNFRAMED_HEAD}${fields}\r\n${"x".repeat(80)}`, {
              end: RawEnd.Reset,
              delayMilliseconds,
            }),
          );
          servers.push(server);
          const client = createClient();
          const address = { endpoint: "e1", url: server.url };
          const request = { ...REQUEST, body: new Uint8Array(bytes) };
          expect(await findSendError(client, { address, request })).to.equal(
            Lost,
          );
        });
      }
    }
  }

  it("reads an answer without a length to the end of its connection", async () => {
    const { client, address } = await createFixture(
      createRawAnswer(`${UNFRAMED_HEAD}\r\nwhole`, { end: RawEnd.Closed }),
    );
    const result = await client.send(address, REQUEST, signal);
    expect(await collectText(result._unsafeUnwrap())).to.equal("whole");
  });

  it("throws when the endpoint's process ends with an answer without a length", async () => {
    const { server, client, address } = await createFixture((request) => {
      request.socket.write(`${UNFRAMED_HEAD}\r\npart`);
      setTimeout(() => void server.close(), 20);
    });
    expect(await findSendError(client, { address, request: REQUEST })).to.equal(
      Lost,
    );
  });

  it("throws when a resumed answer without a length is reset", async () => {
    const { client, address } = await createFixture(
      createRawAnswer(`${UNFRAMED_HEAD}\r\npart`, {
        end: RawEnd.Reset,
        delayMilliseconds: 5,
      }),
    );
    const again = { attempt: "t1", offset: 7 };
    const result = await client.resume(address, again, signal);
    const kind = result.isErr()
      ? result.error.kind
      : await findBodyError(result.value);
    expect(kind).to.equal(Lost);
  });

  for (const status of INVALID_STATUSES) {
    it(`takes no answer with the status ${status}`, async () => {
      const { client, address } = await createFixture(
        createRawAnswer(
          `HTTP/1.1 ${status} OK\r\nx-attempt-id: t1\r\ncontent-length: 1\r\n\r\nx`,
        ),
      );
      const request = REQUEST;
      expect(await findSendError(client, { address, request })).to.equal(Lost);
    });
  }

  for (const [fault, formatAnswer] of Object.entries(INVALID_HEADS)) {
    it(`takes no answer with ${fault}`, async () => {
      const parts = { fields: "x-attempt-id: t1\r\n", body: "whole" };
      const { client, address } = await createFixture(
        createRawAnswer(formatAnswer(parts)),
      );
      const request = REQUEST;
      expect(await findSendError(client, { address, request })).to.equal(Lost);
    });
  }

  it("reads an answer after informational ones", async () => {
    const { client, address } = await createFixture(
      createRawAnswer(
        "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n" +
          "HTTP/1.1 102 Processing\r\n\r\n" +
          `${UNFRAMED_HEAD}content-length: 5\r\n\r\nwhole`,
      ),
    );
    const result = await client.send(address, REQUEST, signal);
    expect(await collectText(result._unsafeUnwrap())).to.equal("whole");
  });

  it("gives up when the first byte is late", async () => {
    const { server, clock, client, address } = await createFixture(neverAnswer);
    const sent = client.send(address, REQUEST, signal);
    await server.waitForRequests(1);
    await clock.advance(100);
    expect((await sent)._unsafeUnwrapErr().kind).to.equal(TimedOut);
  });

  it("gives up when the body falls silent, but not for a slow reader", async () => {
    let writeMore = () => {};
    const { clock, client, address } = await createFixture(
      (_request, response) => {
        response.writeHead(200, OWN);
        response.write("first");
        writeMore = () => response.write("second");
      },
    );
    const response = (await client.send(address, REQUEST, signal))
      ._unsafeUnwrap();
    const parts = response.body[Symbol.asyncIterator]();
    expect((await parts.next()).done).to.equal(false);
    await clock.advance(1_000);
    writeMore();
    expect((await parts.next()).done).to.equal(false);
    const silent = parts.next().then(() => undefined, (thrown) => thrown.kind);
    await clock.advance(49);
    await clock.advance(1);
    expect(await silent).to.equal(TimedOut);
  });

  it("ends the call when its owner gives up, before and in the body", async () => {
    const { server, client, address } = await createFixture(
      neverAnswer,
      (_request, response) => {
        response.writeHead(200, OWN);
        response.write("first");
      },
    );
    const first = new AbortController();
    const sent = client.send(address, REQUEST, first.signal);
    await server.waitForRequests(1);
    first.abort();
    expect((await sent)._unsafeUnwrapErr().kind).to.equal(Cancelled);
    const second = new AbortController();
    const response = (await client.send(address, REQUEST, second.signal))
      ._unsafeUnwrap();
    const error = findBodyError(response);
    second.abort();
    expect(await error).to.equal(Cancelled);
  });

  it("reads no further ahead than its buffer", async () => {
    let written = 0;
    let blocked: () => void = () => {};
    const isBlocked = new Promise<void>((resolve) => blocked = resolve);
    const chunk = new Uint8Array(64 * 1024);
    const limit = 64 * 1024 * 1024;
    const { client, address } = await createFixture((_request, response) => {
      response.writeHead(200, OWN);
      while (written < limit && response.write(chunk)) {
        written += chunk.byteLength;
      }
      blocked();
    });
    const response = (await client.send(address, REQUEST, signal))
      ._unsafeUnwrap();
    await isBlocked;
    expect(written).to.be.below(limit);
    const parts = response.body[Symbol.asyncIterator]();
    await parts.next();
    await parts.return?.();
  });

  it("resumes by attempt and offset", async () => {
    const { server, client, address } = await createFixture(
      createAnswer(200, "rest", OWN),
      createAnswer(404, ""),
    );
    const again = { attempt: "t1", offset: 7 };
    const response = (await client.resume(address, again, signal))
      ._unsafeUnwrap();
    expect(await collectText(response)).to.equal("rest");
    expect(server.requests[0]?.url).to.equal("/v1/streams/t1/resume?offset=7");
    const gone = await client.resume(address, again, signal);
    expect(gone._unsafeUnwrapErr().kind).to.equal(Refused);
  });

  for (
    const [status, kind] of [[204, undefined], [404, undefined], [
      500,
      BadResponse,
    ]] as const
  ) {
    it(`judges a cancel answered with ${status}`, async () => {
      const { server, client, address } = await createFixture(
        createAnswer(status, ""),
      );
      const result = await client.cancel(address, "t1", signal);
      expect(result.isErr() ? result.error.kind : undefined).to.equal(kind);
      expect(server.requests[0]?.method).to.equal("DELETE");
    });
  }

  const report = {
    bootId: "b1",
    uptimeMilliseconds: 5,
    running: 1,
    waiting: 0,
    slots: 8,
    ageMilliseconds: 200,
  };
  const loadCases: [string, RequestHandler, EndpointErrorKind | undefined][] = [
    ["a whole report", createAnswer(200, JSON.stringify(report)), undefined],
    ["malformed JSON", createAnswer(200, "{"), BadResponse],
    ["a missing field", createAnswer(200, '{"bootId":"b1"}'), BadResponse],
    ["an over-long one", createAnswer(200, " ".repeat(70_000)), BadResponse],
    ["a reset mid-body", createResetMidBody(), Lost],
    [
      "a reset of one without a length",
      createRawAnswer(`HTTP/1.1 200 OK\r\n\r\n${JSON.stringify(report)}`, {
        end: RawEnd.Reset,
        delayMilliseconds: 5,
      }),
      Lost,
    ],
    ["a wrong status", createAnswer(500, ""), BadResponse],
  ];
  for (const [title, handler, kind] of loadCases) {
    it(`reads a load report: ${title}`, async () => {
      const { client, address } = await createFixture(handler);
      const load = await client.readLoad(address, signal);
      expect(load.isErr() ? load.error.kind : undefined).to.equal(kind);
      if (load.isOk()) {
        expect(load.value).to.deep.equal(report);
      }
    });
  }
});

import { ManualClock, RandomSource, SystemClock } from "@rattanvane/base";
import { expect } from "chai";
import { afterEach, describe, it } from "mocha";
import { INVALID_HEADS } from "../testing/invalid_heads.ts";
import { PlatformErrorKind } from "../platform_error.ts";
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
  startFaultServer,
} from "./fault_server_fixture.ts";
import { PlatformBudget } from "./platform_budget.ts";
import { PlatformCallKind } from "./platform_call.ts";
import {
  PlatformTransport,
  type PlatformTransportOptions,
} from "./platform_transport.ts";

const BODY_LIMIT_BYTES = 1_000;
const answerOk = createAnswer(200, "{}");
const { Read, Write } = PlatformCallKind;
const { Unavailable, OutcomeUnknown, RateLimited, BadResponse } =
  PlatformErrorKind;

interface FaultCase {
  fault: string;
  handler: RequestHandler;
  kind: PlatformCallKind;
  /** The error when the fault lasts; undefined when there is none. */
  error: PlatformErrorKind;
  /** Whether a second try may be made. */
  retried: boolean;
}

const tooLong = createAnswer(200, "x".repeat(BODY_LIMIT_BYTES + 1));
/** The body looks whole. */
const UNFRAMED = "HTTP/1.1 200 OK\r\n\r\n{}";
const resetAtOnce = createRawAnswer(UNFRAMED, { end: RawEnd.Reset });
const resetLater = createRawAnswer(UNFRAMED, {
  end: RawEnd.Reset,
  delayMilliseconds: 50,
});
const createStatus = (status: string) =>
  createRawAnswer(`HTTP/1.1 ${status} OK\r\ncontent-length: 2\r\n\r\n{}`);
const invalidTrailer = createRawAnswer(
  "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" +
    "2\r\n{}\r\n0\r\nx bad: 1\r\n\r\n",
);
const FAULT_CASES: FaultCase[] = [
  ["429", createAnswer(429, ""), Read, RateLimited, true],
  ["429", createAnswer(429, ""), Write, RateLimited, true],
  ["503", createAnswer(503, ""), Read, Unavailable, true],
  ["503", createAnswer(503, ""), Write, Unavailable, true],
  ["500", createAnswer(500, ""), Read, Unavailable, true],
  ["500", createAnswer(500, ""), Write, OutcomeUnknown, false],
  ["reset before headers", resetBeforeHeaders, Read, Unavailable, true],
  ["reset before headers", resetBeforeHeaders, Write, OutcomeUnknown, false],
  ["reset mid-body", createResetMidBody(), Read, Unavailable, true],
  ["reset mid-body", createResetMidBody(), Write, OutcomeUnknown, false],
  ["cut chunked answer", createCutChunked(), Read, Unavailable, true],
  ["cut chunked answer", createCutChunked(), Write, OutcomeUnknown, false],
  ["reset without a length", resetAtOnce, Read, Unavailable, true],
  ["reset without a length", resetAtOnce, Write, OutcomeUnknown, false],
  ["late reset without a length", resetLater, Read, Unavailable, true],
  ["late reset without a length", resetLater, Write, OutcomeUnknown, false],
  ["the status 000", createStatus("000"), Read, Unavailable, true],
  ["the status 000", createStatus("000"), Write, OutcomeUnknown, false],
  ["the status 600", createStatus("600"), Read, Unavailable, true],
  ["the status 600", createStatus("600"), Write, OutcomeUnknown, false],
  ...Object.entries(INVALID_HEADS).flatMap(([fault, formatAnswer]) => {
    const answer = createRawAnswer(formatAnswer({ fields: "", body: "{}" }));
    return [
      [fault, answer, Read, Unavailable, true],
      [fault, answer, Write, OutcomeUnknown, false],
    ];
  }),
  ["a blank in a trailer field", invalidTrailer, Read, Unavailable, true],
  ["a blank in a trailer field", invalidTrailer, Write, OutcomeUnknown, false],
  ["over-long answer", tooLong, Read, BadResponse, false],
  ["over-long answer", tooLong, Write, OutcomeUnknown, false],
].map(([fault, handler, kind, error, retried]) =>
  ({ fault, handler, kind, error, retried }) as FaultCase
);

describe("PlatformTransport", () => {
  const owner = new AbortController();
  const servers: FaultServer[] = [];

  afterEach(async () => {
    await Promise.all(servers.splice(0).map((server) => server.close()));
  });

  async function startServer(...handlers: RequestHandler[]) {
    const server = await startFaultServer(...handlers);
    servers.push(server);
    return server;
  }

  function createTransport(
    url: string,
    changes: Partial<PlatformTransportOptions> = {},
  ) {
    const clock = changes.clock ?? new SystemClock();
    const random = new RandomSource(3);
    const rates = { readsPerSecond: 10_000, writesPerSecond: 10_000 };
    return new PlatformTransport({
      url,
      clock,
      random,
      budget: new PlatformBudget(rates, { clock, random }),
      bodyLimitBytes: BODY_LIMIT_BYTES,
      deadlineMilliseconds: 20_000,
      backoff: { initialMilliseconds: 1, maximumMilliseconds: 1 },
      ...changes,
    }, owner.signal);
  }

  function createCall(kind: PlatformCallKind) {
    return kind === Read
      ? { kind, method: "GET" as const, path: "/a" }
      : { kind, method: "POST" as const, path: "/a", body: "{}" };
  }

  for (const { fault, handler, kind, error, retried } of FAULT_CASES) {
    const title = retried ? "is retried" : `fails as ${error}`;
    it(`a ${kind} ${title} after ${fault}`, async () => {
      const server = await startServer(handler, answerOk);
      const transport = createTransport(server.url);
      const result = await transport.run(createCall(kind), owner.signal);
      expect(server.requests.length).to.equal(retried ? 2 : 1);
      if (retried) {
        expect(result._unsafeUnwrap().status).to.equal(200);
      } else {
        expect(result._unsafeUnwrapErr().kind).to.equal(error);
      }
    });
  }

  for (const { fault, handler, kind, error } of FAULT_CASES) {
    it(`a ${kind} ends as ${error} when ${fault} outlasts it`, async () => {
      const counted: PlatformErrorKind[] = [];
      const server = await startServer(handler);
      const transport = createTransport(server.url, {
        backoff: { initialMilliseconds: 1e9, maximumMilliseconds: 1e9 },
        countFailure: (kind) => counted.push(kind),
      });
      const result = await transport.run(createCall(kind), owner.signal);
      expect(result._unsafeUnwrapErr().kind).to.equal(error);
      expect(counted).to.deep.equal([error]);
      expect(server.requests.length).to.equal(1);
    });
  }

  const deadlineCases = [
    [Read, Unavailable],
    [Write, OutcomeUnknown],
  ] as const;
  for (const [kind, error] of deadlineCases) {
    it(`a ${kind} that is not answered ends as ${error}`, async () => {
      const clock = new ManualClock();
      const server = await startServer(neverAnswer);
      const transport = createTransport(server.url, { clock });
      const run = transport.run(createCall(kind), owner.signal);
      await clock.advance(1);
      await server.waitForRequests(1);
      await clock.advance(20_000);
      expect((await run)._unsafeUnwrapErr().kind).to.equal(error);
      expect(server.requests.length).to.equal(1);
    });
  }

  for (const kind of [Read, Write]) {
    it(`a ${kind} takes an answer without a length whose connection is closed`, async () => {
      const server = await startServer(
        createRawAnswer(UNFRAMED, { end: RawEnd.Closed }),
      );
      const transport = createTransport(server.url);
      const result = await transport.run(createCall(kind), owner.signal);
      expect(result._unsafeUnwrap().status).to.equal(200);
    });
  }

  it("a write whose owner gives up in flight is of unknown outcome", async () => {
    const server = await startServer(neverAnswer);
    const caller = new AbortController();
    const transport = createTransport(server.url);
    const run = transport.run(createCall(Write), caller.signal);
    await server.waitForRequests(1);
    caller.abort();
    expect((await run)._unsafeUnwrapErr().kind).to.equal(OutcomeUnknown);
  });

  it("a refused connection leaves a write undone", async () => {
    const transport = createTransport(await findClosedUrl(), {
      deadlineMilliseconds: 30,
    });
    const result = await transport.run(createCall(Write), owner.signal);
    expect(result._unsafeUnwrapErr().kind).to.equal(Unavailable);
  });

  it("waits as long as Retry-After says", async () => {
    const clock = new ManualClock();
    const later = createAnswer(429, "", { "retry-after": "60" });
    const server = await startServer(later);
    const transport = createTransport(server.url, { clock });
    const run = transport.run(createCall(Read), owner.signal);
    await clock.advance(1);
    expect((await run)._unsafeUnwrapErr().kind).to.equal(RateLimited);
    expect(server.requests.length).to.equal(1);
  });

  it("refuses what its budget cannot send before the deadline", async () => {
    const server = await startServer(answerOk);
    const clock = new ManualClock();
    const random = new RandomSource(3);
    const transport = createTransport(server.url, {
      clock,
      budget: new PlatformBudget(
        { readsPerSecond: 1, writesPerSecond: 0.001 },
        { clock, random },
      ),
    });
    const result = await transport.run(createCall(Write), owner.signal);
    expect(result._unsafeUnwrapErr().kind).to.equal(RateLimited);
    expect(server.requests.length).to.equal(0);
  });
});

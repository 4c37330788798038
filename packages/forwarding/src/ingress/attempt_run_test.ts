import { Buffer } from "node:buffer";
import { IncomingMessage, ServerResponse } from "node:http";
import { Socket } from "node:net";
import { createLifetime, SystemClock } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import {
  buildCall,
  buildEndpoint,
  buildRoute,
  createCallerMemory,
} from "../testing/fixtures.ts";
import { measureMemory } from "../testing/memory_measurement.ts";
import { TestDialect } from "../testing/test_dialect.ts";
import { OutcomeKind } from "../model/attempt_outcome.ts";
import { Repeatability } from "../model/route.ts";
import { AnswerMemory } from "./answer_memory.ts";
import { AttemptRun } from "./attempt_run.ts";
import { CallerAnswer } from "./caller_answer.ts";
import {
  type AnswerReceiver,
  type EndpointRequest,
  EndpointTransport,
  type SentRequest,
  TransportFailureKind,
} from "./endpoint_transport.ts";
import { EventSplitter } from "./event_splitter.ts";

const HEADERS = { "x-seal": "seal", "x-request": "request-1" };
const MEBIBYTE = 1024 * 1024;
/** The longest answer that is accepted. */
const MAX_ANSWER_BYTES = 16 * MEBIBYTE;

/** Hands the receiver of a sent request to the test. */
class ManualTransport extends EndpointTransport {
  receiver: AnswerReceiver | undefined;
  isCancelled = false;
  isPaused = false;

  override send(
    _address: string,
    _request: EndpointRequest,
    receiver: AnswerReceiver,
  ): SentRequest {
    this.receiver = receiver;
    return { cancel: () => this.isCancelled = true };
  }

  /** Delivers the head of an answer. */
  begin(status = 200): AnswerReceiver {
    const receiver = this.receiver as AnswerReceiver;
    receiver.begin(status, HEADERS, {
      pause: () => this.isPaused = true,
      resume: () => this.isPaused = false,
      recordPieces: () => {},
      cancel: () => this.isCancelled = true,
    });
    return receiver;
  }
}

function startAttempt(
  repeatability: Repeatability,
  memory = new AnswerMemory(Infinity),
) {
  const { signal } = createLifetime();
  const transport = new ManualTransport("127.0.0.1", signal);
  const response = new ServerResponse(new IncomingMessage(new Socket()));
  const attempt = new AttemptRun({
    call: buildCall(0, { route: buildRoute({ repeatability }) }),
    endpoint: buildEndpoint("e1"),
    dialect: new TestDialect(),
    transport,
    clock: new SystemClock(),
    answer: new CallerAnswer(response, {
      shouldClose: () => false,
      share: createCallerMemory().createShare(() => undefined),
    }),
    memory,
    splitter: new EventSplitter(),
    mayStart: () => true,
    onAnswering: () => {},
    onFraming: () => {},
    onLeaving: () => {},
    onLimit: () => {},
    onLoad: () => {},
    onPaused: () => {},
  });
  return { transport, response, outcome: attempt.run(signal) };
}

describe("AttemptRun", () => {
  // A faulty endpoint's chunks of one byte ended the process: heap out of memory.
  it("holds an answer in chunks of one byte in no more memory than the longest answer", async () => {
    const { transport, outcome } = startAttempt(Repeatability.Idempotent);
    const receiver = transport.begin();
    const before = measureMemory();
    for (let packet = 0; packet < 64; packet++) {
      const bytes = Buffer.alloc(16 * 1024, "1");
      for (let offset = 0; offset < bytes.length; offset++) {
        receiver.receive(bytes.subarray(offset, offset + 1));
      }
    }
    expect(measureMemory() - before).to.be.below(MAX_ANSWER_BYTES);
    receiver.end();
    const { kind, answer } = await outcome;
    expect(kind).to.equal(OutcomeKind.Answered);
    expect(answer?.body.length).to.equal(MEBIBYTE);
  });

  // Lines without an event's end were kept and searched again with each chunk,
  // which hung the VM for all its callers.
  it("gives up a stream whose event does not end", async () => {
    const { transport, outcome } = startAttempt(Repeatability.Stream);
    const receiver = transport.begin();
    const lines = Buffer.alloc(1_000, "0\n");
    let sent = 0;
    while (!transport.isCancelled && sent < 2 * MEBIBYTE) {
      receiver.receive(lines);
      sent += lines.length;
    }
    expect(transport.isCancelled).to.equal(true);
    const { kind, reason } = await outcome;
    expect(kind).to.equal(OutcomeKind.Broken);
    expect(reason).to.equal("An event of the stream exceeds the size limit");
  });

  it("gives up the longest answer when all together take too much memory", async () => {
    const memory = new AnswerMemory(MEBIBYTE);
    const piece = Buffer.alloc(1_000, "0\n");
    const sound = startAttempt(Repeatability.Idempotent, memory);
    const soundReceiver = sound.transport.begin();
    soundReceiver.receive(piece);
    const endless = [
      Repeatability.Idempotent,
      Repeatability.Stream,
      Repeatability.Stream,
    ].map((repeatability) => startAttempt(repeatability, memory));
    // A long answer that tells of no failure is passed on in place of that.
    const receivers = endless.map(({ transport }, index) =>
      transport.begin(index === 0 ? 500 : 200)
    );
    for (let round = 0; round < 3_000; round++) {
      receivers.forEach((receiver) => receiver.receive(piece));
      expect(memory.bytes).to.be.at.most(MEBIBYTE);
    }
    soundReceiver.end();
    expect((await sound.outcome).kind).to.equal(OutcomeKind.Answered);
    for (const { outcome } of endless) {
      expect((await outcome).kind).to.equal(OutcomeKind.Broken);
    }
    expect(memory.bytes).to.equal(0);
  });

  // Answers that nobody reads were collected whole and filled the memory.
  it("passes a long answer on while it arrives if memory is short", async () => {
    const memory = new AnswerMemory(MEBIBYTE);
    const { transport, outcome, response } = startAttempt(
      Repeatability.Idempotent,
      memory,
    );
    const receiver = transport.begin();
    const piece = Buffer.alloc(16 * 1024, "x");
    for (let bytes = 0; bytes < 8 * MEBIBYTE; bytes += piece.length) {
      receiver.receive(piece);
      expect(memory.bytes).to.be.at.most(MEBIBYTE);
    }
    expect(transport.isPaused).to.equal(true);
    receiver.end();
    const { kind, answer } = await outcome;
    expect(kind).to.equal(OutcomeKind.Answered);
    expect(answer).to.equal(undefined);
    expect(response.headersSent && response.writableEnded).to.equal(true);
    expect(memory.bytes).to.equal(0);
  });

  it("does not pass a long answer on as complete that breaks off", async () => {
    const { transport, outcome, response } = startAttempt(
      Repeatability.Idempotent,
      new AnswerMemory(MEBIBYTE),
    );
    const receiver = transport.begin();
    while (!transport.isPaused) {
      receiver.receive(Buffer.alloc(16 * 1024, "x"));
    }
    receiver.fail({ kind: TransportFailureKind.Broken, reason: "reset" });
    expect((await outcome).kind).to.equal(OutcomeKind.StreamBroken);
    expect(response.writableEnded).to.equal(false);
  });

  it("holds a long answer that tells of a failure, which may be replaced", async () => {
    const { transport, outcome, response } = startAttempt(
      Repeatability.Idempotent,
      new AnswerMemory(MEBIBYTE),
    );
    const receiver = transport.begin(500);
    receiver.receive(Buffer.alloc(MEBIBYTE - 1, "x"));
    receiver.end();
    expect((await outcome).answer?.body.length).to.equal(MEBIBYTE - 1);
    expect(response.headersSent).to.equal(false);
  });
});

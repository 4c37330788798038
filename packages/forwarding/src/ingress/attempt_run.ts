/** Sends one attempt and takes its answer apart. */

import { Buffer } from "node:buffer";
import { type Clock, Deferred } from "@rattanvane/base";
import { type AttemptOutcome, OutcomeKind } from "../model/attempt_outcome.ts";
import type { ForwardedCall } from "../model/call.ts";
import type { AnswerHeaders, Dialect } from "../model/dialect.ts";
import { Repeatability } from "../model/route.ts";
import type { Grant } from "../scheduling/service_scheduler.ts";
import { type CallerAnswer, isFramed } from "./caller_answer.ts";
import {
  type AnswerControl,
  AnswerReceiver,
  type AttemptBreak,
  BreakKind,
  type EndpointTransport,
  type SentAttempt,
} from "./endpoint_transport.ts";
import type { EventSplitter } from "./event_splitter.ts";

const STATUS_OK = 200;
const STATUS_SERVER_FAILURE = 500;
const STATUS_WRONG_INSTANCE = 421;
/** A whole answer that is longer is no answer of these services. */
const LONGEST_ANSWER_BYTES = 16 * 1024 * 1024;

/** What an attempt needs. */
export interface AttemptRunOptions {
  call: ForwardedCall;
  grant: Grant;
  dialect: Dialect;
  transport: EndpointTransport;
  clock: Clock;
  answer: CallerAnswer;
  /** The whole events of a stream so far. */
  events: EventSplitter;
  /** Called when the endpoint begins to answer. */
  onAnswering: () => void;
}

/** One attempt; passes a stream on as it comes. */
export class AttemptRun extends AnswerReceiver {
  readonly #options: AttemptRunOptions;
  readonly #outcome = new Deferred<AttemptOutcome>();
  readonly #chunks: Uint8Array[] = [];
  readonly #sentAt: number;
  #sent: SentAttempt | undefined;
  #status = 0;
  #headers: AnswerHeaders = {};
  #control: AnswerControl | undefined;
  /** The endpoint says that it did not run the request. */
  #isNotRun = false;
  #isStream = false;
  /** The caller's answer has the head of this attempt's answer. */
  #hasBegunStream = false;
  #bytes = 0;
  #firstMilliseconds: number | undefined;
  #lastEventAt = 0;
  #longestPauseMilliseconds = 0;
  #pauseAt = 0;
  #isOver = false;

  constructor(options: AttemptRunOptions) {
    super();
    this.#options = options;
    this.#sentAt = options.clock.now();
  }

  /** Sends the attempt and waits for its end; an abort cancels it. */
  async run(signal: AbortSignal): Promise<AttemptOutcome> {
    const stop = () => this.#stop();
    signal.addEventListener("abort", stop, { once: true });
    try {
      if (signal.aborted) {
        this.#stop();
      } else {
        this.#send();
      }
      return await this.#outcome.promise;
    } finally {
      signal.removeEventListener("abort", stop);
    }
  }

  override begin(
    status: number,
    headers: AnswerHeaders,
    control: AnswerControl,
  ): void {
    const { call, dialect } = this.#options;
    this.#status = status;
    this.#headers = headers;
    this.#control = control;
    const marks = dialect.readMarks(headers);
    this.#isNotRun = marks.isNotRun;
    if (marks.isNotRun) {
      return;
    }
    const { request } = call.identity;
    const isCrossed = request !== "" && marks.request !== "" &&
      marks.request !== request;
    if (isCrossed) {
      this.#giveUp(`The answer belongs to request "${marks.request}"`);
      return;
    }
    if (!marks.isSealed || marks.isRecoded) {
      if (status !== STATUS_WRONG_INSTANCE) {
        this.#giveUp(`The answer with status ${status} has no seal`);
      }
      return;
    }
    this.#isStream = status === STATUS_OK && isStreamed(call);
  }

  override receive(chunk: Uint8Array): void {
    if (this.#isOver) {
      return;
    }
    if (this.#isStream) {
      this.#relay(chunk);
      return;
    }
    this.#markFirst();
    this.#bytes += chunk.length;
    if (this.#bytes > LONGEST_ANSWER_BYTES) {
      this.#giveUp("The answer is too long");
      return;
    }
    this.#chunks.push(chunk);
  }

  override end(): void {
    if (this.#isOver) {
      return;
    }
    if (this.#isStream) {
      this.#endStream();
      return;
    }
    this.#finishWhole();
  }

  override fail(cause: AttemptBreak): void {
    if (cause.kind === BreakKind.NotSent) {
      this.#finish(OutcomeKind.NotSent, cause.reason);
      return;
    }
    this.#finish(this.#findBreakKind(), cause.reason);
  }

  #send(): void {
    const { call, grant, dialect, transport, clock, events } = this.#options;
    const { record } = grant.endpoint;
    const headers = dialect.buildHeaders(call.rawHeaders, {
      endpoint: record.id,
      organisation: call.organisation,
      deadlineMilliseconds: Math.max(1, Math.floor(call.endsAt - clock.now())),
      lastEvent: events.lastEvent === "" ? undefined : events.lastEvent,
    });
    const { method, target, body } = call;
    const address = `${record.host}:${record.port}`;
    this.#sent = transport.send(
      address,
      { method, target, headers, body },
      this,
    );
  }

  #relay(chunk: Uint8Array): void {
    const { answer, events } = this.#options;
    const whole = events.split(chunk);
    if (whole.length === 0) {
      return;
    }
    this.#markFirst();
    this.#notePause();
    if (!answer.hasBegun) {
      answer.beginStream(this.#status, this.#headers);
      this.#hasBegunStream = true;
    }
    if (!answer.write(whole)) {
      this.#control?.pause();
      answer.waitUntilRead(() => this.#control?.resume());
    }
  }

  #notePause(): void {
    const now = this.#options.clock.now();
    const pause = now - this.#lastEventAt;
    if (this.#lastEventAt > 0 && pause > this.#longestPauseMilliseconds) {
      this.#longestPauseMilliseconds = pause;
      this.#pauseAt = now - this.#sentAt;
    }
    this.#lastEventAt = now;
  }

  #endStream(): void {
    const { answer, events } = this.#options;
    if (events.hasRest || !answer.hasBegun) {
      this.#finish(this.#findBreakKind(), "The stream ended within an event");
      return;
    }
    const isSameFrame = this.#hasBegunStream || isFramed(this.#headers);
    if (!isSameFrame) {
      this.#finish(OutcomeKind.StreamBroken, "The stream has no framed end");
      return;
    }
    answer.endStream();
    this.#finish(OutcomeKind.Answered, "");
  }

  #finishWhole(): void {
    const body = Buffer.concat(this.#chunks);
    const answer = { status: this.#status, headers: this.#headers, body };
    if (this.#status === STATUS_WRONG_INSTANCE) {
      this.#finish(OutcomeKind.WrongInstance, "status 421");
    } else if (this.#isNotRun) {
      this.#finish(OutcomeKind.NotRun, `status ${this.#status}`);
    } else {
      const kind = this.#status >= STATUS_SERVER_FAILURE
        ? OutcomeKind.Failed
        : OutcomeKind.Answered;
      this.#finish(kind, `status ${this.#status}`, answer);
    }
  }

  #findBreakKind(): OutcomeKind {
    return this.#options.answer.hasBegun
      ? OutcomeKind.StreamBroken
      : OutcomeKind.Broken;
  }

  #giveUp(reason: string): void {
    this.#control?.cancel();
    this.#finish(this.#findBreakKind(), reason);
  }

  #stop(): void {
    this.#sent?.cancel();
    this.#finish(OutcomeKind.Stopped, "the caller left or the time is over");
  }

  #markFirst(): void {
    if (this.#firstMilliseconds === undefined) {
      this.#firstMilliseconds = this.#options.clock.now() - this.#sentAt;
      this.#options.onAnswering();
    }
  }

  #finish(
    kind: OutcomeKind,
    reason: string,
    answer?: AttemptOutcome["answer"],
  ): void {
    if (this.#isOver) {
      return;
    }
    this.#isOver = true;
    this.#options.events.dropRest();
    this.#outcome.resolve({
      kind,
      reason,
      longestPauseMilliseconds: this.#longestPauseMilliseconds,
      pauseAt: this.#pauseAt,
      durationMilliseconds: this.#options.clock.now() - this.#sentAt,
      ...(answer === undefined ? {} : { answer }),
      ...(this.#firstMilliseconds === undefined
        ? {}
        : { firstMilliseconds: this.#firstMilliseconds }),
    });
  }
}

/** Whether a route's answers are passed on event by event. */
export function isStreamed(call: ForwardedCall): boolean {
  const { repeatability } = call.route;
  return repeatability === Repeatability.Stream ||
    repeatability === Repeatability.ResumableStream;
}

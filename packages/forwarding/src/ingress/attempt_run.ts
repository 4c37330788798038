/** Sends one attempt to an endpoint and processes its answer. */

import { ByteCollector, type Clock, Deferred } from "@rattanvane/base";
import {
  type AnswerFraming,
  type AttemptOutcome,
  OutcomeKind,
} from "../model/attempt_outcome.ts";
import type { ForwardedCall } from "../model/call.ts";
import type {
  AnswerHeaders,
  AnswerMetadata,
  Dialect,
  ReportedLoad,
} from "../model/dialect.ts";
import { Repeatability } from "../model/route.ts";
import type { GrantedEndpoint } from "../admission/admission.ts";
import type { AnswerMemory, HeldAnswer } from "./answer_memory.ts";
import { type CallerAnswer, readFraming } from "./caller_answer.ts";
import {
  type AnswerControl,
  AnswerReceiver,
  type EndpointTransport,
  type SentRequest,
  type TransportFailure,
  TransportFailureKind,
} from "./endpoint_transport.ts";
import type { EventSplitter } from "./event_splitter.ts";

const STATUS_OK = 200;
const STATUS_SERVER_FAILURE = 500;
const MAX_STATUS = 599;
const STATUS_WRONG_INSTANCE = 421;
const STATUS_UNAVAILABLE = 503;
/** No service sends longer answers than this, except as streams. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
/**
 * A longer answer is passed on while it arrives if memory is short. What is
 * passed on can no longer be replaced by the answer of another endpoint.
 */
const MAX_WHOLE_BYTES = 256 * 1024;
/** Applies to a stream, whose length is not limited otherwise. */
const MAX_EVENT_BYTES = 1024 * 1024;

/** The request, the endpoint and the dependencies of one attempt. */
export interface AttemptRunOptions {
  call: ForwardedCall;
  endpoint: GrantedEndpoint;
  dialect: Dialect;
  transport: EndpointTransport;
  clock: Clock;
  answer: CallerAnswer;
  /** Shared by all attempts of this VM. */
  memory: AnswerMemory;
  /** Shared by all attempts of a request, so that a stream can be resumed. */
  splitter: EventSplitter;
  /** Whether the request may still be sent when its connection is open. */
  mayStart: () => boolean;
  /** Called once, when the first byte or event of the answer arrives. */
  onAnswering: () => void;
  /**
   * Asked before events are passed on: whether this attempt answers the caller,
   * and not another one that runs beside it; always by default.
   */
  claimAnswer?: () => boolean;
  /** Called when the head of an answer arrives. */
  onFraming: (framing: AnswerFraming) => void;
  /** Called when the response announces the shutdown of the endpoint. */
  onLeaving: () => void;
  /** Called with the requests a second that the endpoint states; or none. */
  onLimit: (requestsPerSecond: number | undefined) => void;
  /** Called when the endpoint reports its load in the head of an answer. */
  onLoad: (load: ReportedLoad) => void;
  /** Called when the endpoint refuses the request and asks for a pause. */
  onPaused: (milliseconds: number) => void;
}

/** One attempt. Forwards the events of a stream as they arrive. */
export class AttemptRun extends AnswerReceiver implements HeldAnswer {
  readonly #options: AttemptRunOptions;
  readonly #outcome = new Deferred<AttemptOutcome>();
  readonly #body = new ByteCollector();
  readonly #sentAt: number;
  #request: SentRequest | undefined;
  #status = 0;
  #headers: AnswerHeaders = {};
  #framing: AnswerFraming | undefined;
  #control: AnswerControl | undefined;
  /** The endpoint reports that it did not run the request. */
  #isNotRun = false;
  /** The endpoint reports that it is about to shut down. */
  #isLeaving = false;
  #isStream = false;
  /** Whether a part of an answer that is not a stream was passed on. */
  #isPassedOn = false;
  #passedOnBytes = 0;
  #firstMilliseconds: number | undefined;
  #lastEventAt = 0;
  #longestPauseMilliseconds = 0;
  #pauseAt = 0;
  #isFinished = false;
  /** The bytes that the memory of answers counts for this one. */
  #countedBytes = 0;

  constructor(options: AttemptRunOptions) {
    super();
    this.#options = options;
    this.#sentAt = options.clock.now();
  }

  /** The bytes of the body, or of an incomplete event, that are held. */
  get heldBytes(): number {
    return this.#body.length +
      (this.#isFinished ? 0 : this.#options.splitter.incompleteBytes);
  }

  /** Gives the answer up for those of other requests. */
  giveUp(): void {
    this.#rejectAnswer("This VM holds too many bytes of incomplete answers");
  }

  /** Sends the attempt and resolves with its outcome; an abort cancels it. */
  async run(signal: AbortSignal): Promise<AttemptOutcome> {
    const stop = () => this.#stop(signal);
    signal.addEventListener("abort", stop, { once: true });
    try {
      if (signal.aborted) {
        this.#stop(signal);
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
    this.#framing = readFraming(headers);
    this.#options.onFraming(this.#framing);
    if (status < STATUS_OK || status > MAX_STATUS) {
      this.#rejectAnswer(`The status ${status} is not one of a final answer`);
      return;
    }
    const marks = dialect.readAnswerMetadata(headers);
    const isRefusal = marks.isNotRun || status === STATUS_WRONG_INSTANCE;
    if (!isAnswerTo(call, marks.request, isRefusal)) {
      this.#rejectAnswer(
        `The answer carries the id of another request, "${marks.request}"`,
      );
      return;
    }
    this.#readNotices(status, marks);
    this.#isNotRun = marks.isNotRun;
    if (isRefusal) {
      return;
    }
    if (!marks.isSealed || marks.isReencoded) {
      this.#rejectAnswer(
        `The answer with status ${status} is unsealed or was re-encoded`,
      );
      return;
    }
    this.#isStream = status === STATUS_OK && isStreamed(call);
    if (this.#isStream && !this.#options.answer.mayContinueWith(headers)) {
      this.#rejectAnswer("The answer is no continuation of the stream");
    }
  }

  override receive(chunk: Uint8Array): void {
    if (this.#isFinished) {
      return;
    }
    if (this.#isStream) {
      this.#relayEvents(chunk);
      return;
    }
    this.#recordFirstByte();
    const length = this.#passedOnBytes + this.#body.length + chunk.length;
    if (length > MAX_ANSWER_BYTES) {
      this.#rejectAnswer("The answer exceeds the size limit");
      return;
    }
    if (this.#isPassedOn) {
      this.#passOn(chunk);
      return;
    }
    this.#body.append(chunk);
    if (this.#mayPassOn()) {
      this.#startPassingOn();
    }
    this.#countBytes();
  }

  /** Answers that tell of a failure are held until they are replaced or sent. */
  #mayPassOn(): boolean {
    const { answer, call, memory } = this.#options;
    return this.#body.length > MAX_WHOLE_BYTES &&
      (memory.isContested || answer.isMemoryContested) &&
      !isStreamed(call) && !this.#isRefusal &&
      this.#status < STATUS_SERVER_FAILURE;
  }

  #startPassingOn(): void {
    const { answer, claimAnswer } = this.#options;
    if (claimAnswer?.() === false) {
      this.#control?.cancel();
      this.#finish(OutcomeKind.Stopped, "another attempt has answered");
      return;
    }
    this.#isPassedOn = true;
    answer.beginParts(this.#status, this.#headers);
    this.#passOn(this.#body.take());
  }

  #passOn(bytes: Uint8Array): void {
    this.#passedOnBytes += bytes.length;
    this.#write(bytes);
  }

  /** Writes to the caller, and reads no more while it does not. */
  #write(bytes: Uint8Array): void {
    const { answer } = this.#options;
    if (!answer.write(bytes)) {
      this.#control?.pause();
      answer.waitForDrain(() => this.#control?.resume());
    }
  }

  get #isRefusal(): boolean {
    return this.#isNotRun || this.#status === STATUS_WRONG_INSTANCE;
  }

  override end(): void {
    if (this.#isFinished) {
      return;
    }
    if (this.#isStream) {
      this.#endStream();
      return;
    }
    if (this.#isPassedOn) {
      this.#options.answer.endStream();
      this.#finish(OutcomeKind.Answered, `status ${this.#status}`);
      return;
    }
    this.#finishWholeAnswer();
  }

  override fail(cause: TransportFailure): void {
    if (cause.kind === TransportFailureKind.NotSent) {
      this.#finish(OutcomeKind.NotSent, cause.reason);
      return;
    }
    this.#finish(this.#pickBrokenKind(), cause.reason);
  }

  #send(): void {
    const { call, endpoint, dialect, transport, clock, splitter, mayStart } =
      this.#options;
    const headers = dialect.buildHeaders(call.rawHeaders, {
      endpoint: endpoint.id,
      organisation: call.organisation,
      deadlineMilliseconds: Math.max(
        1,
        Math.floor(call.deadlineAt - clock.now()),
      ),
      lastEvent: splitter.lastEventId === "" ? undefined : splitter.lastEventId,
    });
    const { method, target, body } = call;
    const address = `${endpoint.host}:${endpoint.port}`;
    this.#request = transport.send(
      address,
      { method, target, headers, body, mayStart },
      this,
    );
  }

  /** Reads what the endpoint says of itself, besides answering the request. */
  #readNotices(status: number, marks: AnswerMetadata): void {
    this.#isLeaving = marks.isLeaving && status !== STATUS_WRONG_INSTANCE;
    if (this.#isLeaving) {
      this.#options.onLeaving();
    }
    this.#readLimit(status, marks);
    this.#readLoad(status, marks);
    const isRefusal = status === STATUS_UNAVAILABLE &&
      (marks.isNotRun || marks.isSealed);
    if (isRefusal && marks.retryAfterMilliseconds !== undefined) {
      this.#options.onPaused(marks.retryAfterMilliseconds);
    }
  }

  /** A statement that cannot be read leaves the former one in force. */
  #readLimit(status: number, marks: AnswerMetadata): void {
    const { requestsPerSecond } = marks;
    if (isOwnStatement(status, marks) && requestsPerSecond !== undefined) {
      const isLimited = Number.isFinite(requestsPerSecond);
      this.#options.onLimit(isLimited ? requestsPerSecond : undefined);
    }
  }

  #readLoad(status: number, marks: AnswerMetadata): void {
    if (marks.load !== undefined && isOwnStatement(status, marks)) {
      this.#options.onLoad(marks.load);
    }
  }

  #relayEvents(chunk: Uint8Array): void {
    const { answer, splitter } = this.#options;
    const eventsBefore = splitter.eventCount;
    const events = splitter.split(chunk);
    const moreEvents = splitter.eventCount - eventsBefore - 1;
    this.#control?.recordPieces(Math.max(0, moreEvents));
    if (splitter.incompleteBytes > MAX_EVENT_BYTES) {
      this.#rejectAnswer("An event of the stream exceeds the size limit");
      return;
    }
    this.#countBytes();
    if (events.length === 0 || this.#isFinished) {
      return;
    }
    this.#recordFirstByte();
    this.#updateLongestPause();
    if (this.#options.claimAnswer?.() === false) {
      this.#control?.cancel();
      this.#finish(OutcomeKind.Stopped, "another attempt has answered");
      return;
    }
    if (!answer.hasBegun) {
      answer.beginStream(this.#status, this.#headers);
    }
    this.#write(events);
  }

  /** Updates the memory of answers, which may give this one up. */
  #countBytes(): void {
    const { heldBytes } = this;
    if (heldBytes !== this.#countedBytes) {
      this.#countedBytes = heldBytes;
      this.#options.memory.update(this);
    }
  }

  #updateLongestPause(): void {
    const now = this.#options.clock.now();
    const pause = now - this.#lastEventAt;
    if (this.#lastEventAt > 0 && pause > this.#longestPauseMilliseconds) {
      this.#longestPauseMilliseconds = pause;
      this.#pauseAt = now - this.#sentAt;
    }
    this.#lastEventAt = now;
  }

  #endStream(): void {
    const { answer, splitter } = this.#options;
    if (splitter.hasIncompleteEvent || !answer.hasBegun) {
      this.#finish(
        this.#pickBrokenKind(),
        "The stream ended in the middle of an event",
      );
      return;
    }
    answer.endStream();
    this.#finish(OutcomeKind.Answered, "");
  }

  #finishWholeAnswer(): void {
    const body = this.#body.take();
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

  #pickBrokenKind(): OutcomeKind {
    return this.#options.answer.hasBegun
      ? OutcomeKind.StreamBroken
      : OutcomeKind.Broken;
  }

  #rejectAnswer(reason: string): void {
    this.#control?.cancel();
    this.#finish(this.#pickBrokenKind(), reason);
  }

  #stop({ reason }: AbortSignal): void {
    this.#request?.cancel();
    const text = reason instanceof Error ? reason.message : "stopped";
    this.#finish(OutcomeKind.Stopped, text);
  }

  #recordFirstByte(): void {
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
    if (this.#isFinished) {
      return;
    }
    this.#isFinished = true;
    this.#body.clear();
    this.#options.splitter.removeIncompleteEvent();
    this.#countBytes();
    this.#outcome.resolve({
      kind,
      reason,
      isLeaving: this.#isLeaving,
      framing: this.#framing,
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

/** Whether the answers of a call's route are forwarded event by event. */
export function isStreamed(call: ForwardedCall): boolean {
  const { repeatability } = call.route;
  return repeatability === Repeatability.Stream ||
    repeatability === Repeatability.ResumableStream;
}

/** Whether the endpoint that was meant vouches for what the answer says of it. */
function isOwnStatement(status: number, marks: AnswerMetadata): boolean {
  return status !== STATUS_WRONG_INSTANCE &&
    (marks.isSealed || marks.isNotRun);
}

/**
 * Whether an answer belongs to a call. A refusal must name it: an endpoint may
 * write an earlier one again on a connection in use, while it runs the request.
 */
function isAnswerTo(
  { identity }: ForwardedCall,
  answered: string,
  isRefusal: boolean,
): boolean {
  const { request } = identity;
  return request === "" || answered === request ||
    (answered === "" && !isRefusal);
}

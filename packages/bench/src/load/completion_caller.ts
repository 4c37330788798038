/** Calls models through the routers and compares what comes back. */

import { setMaxListeners } from "node:events";
import { type Clock, describeError } from "@rattanvane/base";
import { formatChatPrompt, generateAnswer } from "@rattanvane/emulator";
import { HeaderName } from "@rattanvane/platform";
import { type Dispatcher, request } from "undici";
import { type CallRecord, CallVerdict, judgeAnswer } from "./call_record.ts";
import { CallerEventKind, readCallerEvents } from "./caller_events.ts";

const OK = 200;
const PROMPT_ROLE = "user";

/** A completion call. */
export interface CompletionCall {
  /** The router's URL. */
  url: string;
  model: string;
  prompt: string;
  maxTokens: number;
  isChat: boolean;
  isStream: boolean;
  /** Further headers, for example a deadline or a hint. */
  headers?: Record<string, string>;
}

/** What a caller needs. */
export interface CompletionCallerOptions {
  organisation: string;
  /** The organisation's bearer key. */
  key: string;
  clock: Clock;
  dispatcher: Dispatcher;
  /** Called for each piece of text, with the tokens in it. */
  onTokens?: (tokens: number) => void;
}

interface WholeBody {
  choices?: { text?: string; message?: { content?: string } }[];
  error?: { message?: string };
}

/** Sends one organisation's calls. */
export class CompletionCaller {
  readonly #options: CompletionCallerOptions;

  constructor(options: CompletionCallerOptions) {
    this.#options = options;
  }

  /** Sends a call and reads the answer to its end; never throws. */
  async send(call: CompletionCall, signal: AbortSignal): Promise<CallRecord> {
    const record = this.#createRecord(call);
    // Any number of calls may be under way with one owner.
    setMaxListeners(0, signal);
    try {
      const response = await request(`${call.url}${findPath(call)}`, {
        method: "POST",
        headers: this.#buildHeaders(call),
        body: JSON.stringify(buildBody(call)),
        dispatcher: this.#options.dispatcher,
        signal,
      });
      await this.#read(response, { call, record });
    } catch (error) {
      record.problem ||= describeError(error);
      record.verdict = judgeBroken(record, call);
    }
    record.endedAt = this.#options.clock.now();
    return record;
  }

  async #read(
    response: Dispatcher.ResponseData,
    { call, record }: { call: CompletionCall; record: CallRecord },
  ): Promise<void> {
    record.status = response.statusCode;
    record.requestId = readHeader(response, HeaderName.RequestId);
    record.outcome = readHeader(response, HeaderName.Outcome);
    record.streamId = readHeader(response, HeaderName.StreamId);
    if (response.statusCode !== OK) {
      record.problem = await response.body.text();
      record.verdict = CallVerdict.Refused;
      return;
    }
    const looksWhole = call.isStream
      ? await this.#readStream(response, record)
      : await this.#readWhole(response, record);
    const { text } = record;
    const expected = generateExpected(call);
    record.verdict = judgeAnswer({ expected, text, looksWhole });
  }

  /** Returns whether the stream had its closing event. */
  async #readStream(
    response: Dispatcher.ResponseData,
    record: CallRecord,
  ): Promise<boolean> {
    let isWhole = false;
    for await (const event of readCallerEvents(response.body)) {
      record.lastEventId = event.id || record.lastEventId;
      if (event.kind === CallerEventKind.Error) {
        record.problem = event.text;
        return false;
      }
      isWhole = event.kind === CallerEventKind.End;
      this.#addText(record, event.text);
    }
    return isWhole;
  }

  async #readWhole(
    response: Dispatcher.ResponseData,
    record: CallRecord,
  ): Promise<boolean> {
    const body = await response.body.json() as WholeBody;
    const choice = body.choices?.[0];
    this.#addText(record, choice?.text ?? choice?.message?.content ?? "");
    return true;
  }

  #addText(record: CallRecord, text: string): void {
    if (text === "") {
      return;
    }
    const tokens = countTokens(text);
    record.firstTextAt ??= this.#options.clock.now();
    record.text += text;
    record.tokens += tokens;
    this.#options.onTokens?.(tokens);
  }

  #createRecord(call: CompletionCall): CallRecord {
    const now = this.#options.clock.now();
    return {
      organisation: this.#options.organisation,
      url: call.url,
      verdict: CallVerdict.Unreachable,
      status: 0,
      requestId: "",
      outcome: "",
      text: "",
      tokens: 0,
      startedAt: now,
      firstTextAt: undefined,
      endedAt: now,
      lastEventId: "",
      streamId: "",
      problem: "",
    };
  }

  #buildHeaders(call: CompletionCall): Record<string, string> {
    return {
      authorization: `Bearer ${this.#options.key}`,
      "content-type": "application/json",
      ...call.headers,
    };
  }
}

/** Generates the answer that the engines give to a call. */
export function generateExpected(call: CompletionCall): string {
  const prompt = call.isChat
    ? formatChatPrompt(buildMessages(call))
    : call.prompt;
  return generateAnswer(prompt, call.maxTokens);
}

/** Judges a call whose connection broke. */
function judgeBroken(record: CallRecord, call: CompletionCall): CallVerdict {
  if (record.status !== OK) {
    return CallVerdict.Unreachable;
  }
  const expected = generateExpected(call);
  return judgeAnswer({ expected, text: record.text, looksWhole: false });
}

function findPath(call: CompletionCall): string {
  return call.isChat ? "/v1/chat/completions" : "/v1/completions";
}

function buildBody(call: CompletionCall): object {
  const { model, maxTokens, isStream, isChat, prompt } = call;
  const content = isChat ? { messages: buildMessages(call) } : { prompt };
  return { model, ...content, max_tokens: maxTokens, stream: isStream };
}

function buildMessages(call: CompletionCall) {
  return [{ role: PROMPT_ROLE, content: call.prompt }];
}

/** The engine stand-in's tokens are words, all but the first after a space. */
function countTokens(text: string): number {
  return text.split(" ").filter((word) => word !== "").length;
}

function readHeader(response: Dispatcher.ResponseData, name: string): string {
  const value = response.headers[name];
  return Array.isArray(value) ? value.join(", ") : value ?? "";
}

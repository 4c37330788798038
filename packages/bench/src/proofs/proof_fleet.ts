/** What the failure proofs share: a fleet, its callers and waits. */

import { type Clock, describeError, SystemClock } from "@rattanvane/base";
import { generateAnswer } from "@rattanvane/emulator";
import { HeaderName } from "@rattanvane/platform";
import { Agent, type Dispatcher, request } from "undici";
import { waitUntil } from "../common/wait.ts";
import { type Fleet, startFleet } from "../fleet/fleet.ts";
import {
  type FleetOptions,
  type FleetOrganisation,
  MODEL_SERVICE,
  PLAIN_SERVICE,
} from "../fleet/fleet_options.ts";
import type { LogQuery } from "../fleet/process_log.ts";
import { CallerEventKind, readCallerEvents } from "../load/caller_events.ts";
import type { CallRecord } from "../load/call_record.ts";
import { CompletionCaller } from "../load/completion_caller.ts";
import { PlainCaller, type PlainResult } from "../load/plain_caller.ts";

const OK = 200;
const CONDITION_TIMEOUT_MILLISECONDS = 20_000;

/** A job for the plain service. */
export interface PrintJob {
  vm: string;
  job: string;
  key?: string;
  /** Ends the caller's connection. */
  cut?: AbortSignal;
}

/** A completion call. */
export interface TextCall {
  vm: string;
  prompt: string;
  tokens: number;
  isStream?: boolean;
  /** Defaults to the first organisation. */
  organisation?: string;
  headers?: Record<string, string>;
}

/** What a caller got of a stream. */
export interface StreamPart {
  status: number;
  text: string;
  /** Whether the end mark came. */
  isWhole: boolean;
  /** What the error said; empty when there was none. */
  problem: string;
}

interface RawCall {
  method: "GET" | "POST";
  url: string;
  headers: Record<string, string>;
  body?: string;
}

/** A fleet with callers. */
export class ProofFleet {
  readonly fleet: Fleet;
  readonly signal: AbortSignal;
  readonly clock: Clock = new SystemClock();
  readonly dispatcher: Dispatcher = new Agent();
  #tokens = 0;

  constructor(fleet: Fleet, signal: AbortSignal) {
    this.fleet = fleet;
    this.signal = signal;
  }

  /** Sends a job; never throws. */
  async sendJob(print: PrintJob): Promise<PlainResult> {
    const { vm, job, key, cut } = print;
    return await this.createPlainCaller().send({
      url: this.fleet.router(vm).callerUrl,
      service: PLAIN_SERVICE,
      method: "POST",
      path: "/print",
      body: { job },
      ...(key === undefined ? {} : { key }),
    }, cut ?? this.signal);
  }

  /** Has a VM issue a key; throws when it does not. */
  async issueKey(vm: string): Promise<string> {
    const url = this.fleet.router(vm).callerUrl;
    const key = await this.createPlainCaller().requestKey(url, this.signal);
    if (key === undefined) {
      throw new Error(`The VM "${vm}" issued no key`);
    }
    return key;
  }

  /** Sends a completion call; never throws. */
  async sendText(
    call: TextCall,
    signal: AbortSignal = this.signal,
  ): Promise<CallRecord> {
    const { vm, prompt, tokens, isStream = true, headers } = call;
    return await this.createTextCaller(call.organisation).send({
      url: this.fleet.router(vm).callerUrl,
      model: MODEL_SERVICE,
      prompt: formatPrompt(prompt, tokens),
      maxTokens: tokens,
      isChat: false,
      isStream,
      ...(headers === undefined ? {} : { headers }),
    }, signal);
  }

  /** Takes a stream up again by the last event that came; never throws. */
  async resumeText(vm: string, record: CallRecord): Promise<StreamPart> {
    const { callerUrl } = this.fleet.router(vm);
    return await this.#readStream({
      method: "GET",
      url: `${callerUrl}/v1/streams/${record.streamId}`,
      headers: { [HeaderName.LastEventId]: record.lastEventId },
    });
  }

  /** Opens a stream and reads nothing of it until it is told to. */
  async openSlowly(
    call: TextCall,
  ): Promise<{ readRest: () => Promise<StreamPart> }> {
    const { callerUrl } = this.fleet.router(call.vm);
    const response = await this.#request({
      method: "POST",
      url: `${callerUrl}/v1/completions`,
      headers: {},
      body: JSON.stringify({
        model: MODEL_SERVICE,
        prompt: formatPrompt(call.prompt, call.tokens),
        max_tokens: call.tokens,
        stream: true,
      }),
    });
    return { readRest: () => readPart(response) };
  }

  /** The engine's whole text for a prompt. */
  generateText(prompt: string, tokens: number): string {
    return generateAnswer(formatPrompt(prompt, tokens), tokens);
  }

  /** How often a job ran, at all plain services. */
  async countRuns(job: string): Promise<number> {
    return (await this.fleet.countRuns()).get(job) ?? 0;
  }

  /** Waits until a condition holds. */
  async wait(
    until: string,
    condition: () => boolean | Promise<boolean>,
  ): Promise<void> {
    await waitUntil(
      condition,
      { until, timeoutMilliseconds: CONDITION_TIMEOUT_MILLISECONDS },
      this.signal,
    );
  }

  /** Waits until a VM has logged more lines of a kind than it had. */
  async waitForLines(
    vm: string,
    options: { query: LogQuery; more: number },
  ): Promise<void> {
    const { query, more } = options;
    const router = this.fleet.router(vm);
    const before = router.findLogLines(query).length;
    await this.wait(
      `the VM "${vm}" logs "${query.sentence}"`,
      () => router.findLogLines(query).length >= before + more,
    );
  }

  /** Sums a counter over all engines. */
  async sumEngines(
    counter: "overloads" | "crashes" | "started" | "completed",
  ): Promise<number> {
    let sum = 0;
    for (const engine of this.fleet.parts.engines) {
      sum += (await engine.readCounters())[counter];
    }
    return sum;
  }

  /** Lets time pass, where a fault has to last for a stated time. */
  async pause(milliseconds: number): Promise<void> {
    await this.clock.sleep(milliseconds, this.signal);
  }

  async #readStream(call: RawCall): Promise<StreamPart> {
    try {
      return await readPart(await this.#request(call));
    } catch (error) {
      const problem = describeError(error);
      return { status: 0, text: "", isWhole: false, problem };
    }
  }

  async #request(call: RawCall): Promise<Dispatcher.ResponseData> {
    const { url, method, headers, body } = call;
    const { key } = this.findOrganisation();
    return await request(url, {
      method,
      headers: { ...headers, authorization: `Bearer ${key}` },
      ...(body === undefined ? {} : { body }),
      dispatcher: this.dispatcher,
      signal: this.signal,
    });
  }

  createPlainCaller(): PlainCaller {
    const { key } = this.findOrganisation();
    const { clock, dispatcher } = this;
    return new PlainCaller({ key, clock, dispatcher });
  }

  createTextCaller(name?: string): CompletionCaller {
    const organisation = this.findOrganisation(name);
    return new CompletionCaller({
      organisation: organisation.name,
      key: organisation.key,
      clock: this.clock,
      dispatcher: this.dispatcher,
      onTokens: (tokens) => {
        this.#tokens += tokens;
      },
    });
  }

  /** Waits until all calls together got so many more tokens of streams. */
  async waitForTokens(more: number): Promise<void> {
    const wanted = this.#tokens + more;
    await this.wait(`${more} tokens have come`, () => this.#tokens >= wanted);
  }

  /** Finds an organisation; the first one without a name. */
  findOrganisation(name?: string): FleetOrganisation {
    const { organisations } = this.fleet.parts.options;
    const found = organisations.find((each) =>
      name === undefined || each.name === name
    );
    if (found === undefined) {
      throw new Error(`The fleet has no organisation "${name}"`);
    }
    return found;
  }

  /** Ends all faults and waits until everything is up again. */
  async settle(): Promise<void> {
    const { platform, plainServices, engines, routers, network } =
      this.fleet.parts;
    await platform.applyFaults({});
    await network.heal();
    for (const endpoint of [...plainServices, ...engines]) {
      await endpoint.applyFaults({});
      await this.wait(
        `"${endpoint.name}" listens`,
        () => isListening(endpoint.url),
      );
    }
    for (const router of routers) {
      if (!router.process.isRunning) {
        router.start();
      }
      await router.waitUntilReady();
    }
  }

  /** Ends the fleet and all connections to it. */
  async stop(): Promise<void> {
    await this.dispatcher.destroy();
    await this.fleet.stop();
  }
}

async function isListening(url: string): Promise<boolean> {
  try {
    const response = await request(`${url}/load`);
    await response.body.dump();
    return true;
  } catch {
    return false;
  }
}

function formatPrompt(prompt: string, tokens: number): string {
  return `${prompt} [tokens:${tokens}]`;
}

async function readPart(
  response: Dispatcher.ResponseData,
): Promise<StreamPart> {
  const part = { status: response.statusCode, text: "", problem: "" };
  if (response.statusCode !== OK) {
    part.problem = await response.body.text();
    return { ...part, isWhole: false };
  }
  let isWhole = false;
  for await (const event of readCallerEvents(response.body)) {
    isWhole = event.kind === CallerEventKind.End;
    if (event.kind === CallerEventKind.Error) {
      part.problem = event.text;
    } else {
      part.text += event.text;
    }
  }
  return { ...part, isWhole };
}

/** Starts two zones with two VMs each behind the proxy, and changes. */
export async function startProofFleet(
  changes: Partial<FleetOptions>,
  signal: AbortSignal,
): Promise<ProofFleet> {
  const fleet = await startFleet({
    zones: ["zone-a", "zone-b"],
    proxied: true,
    enginesPerZone: 1,
    plainServicesPerZone: 1,
    ...changes,
  }, signal);
  return new ProofFleet(fleet, signal);
}

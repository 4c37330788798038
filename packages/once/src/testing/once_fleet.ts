/** Test fixture: several VMs in one process with a shared table. */

import {
  createSilentLogger,
  Deferred,
  ManualClock,
  RandomSource,
} from "@rattanvane/base";
import {
  MemoryObjectStore,
  MemoryTableService,
  PlatformFaults,
} from "@rattanvane/platform/testing";
import {
  type Message,
  MessageKind,
  MessageSender,
  type VmId,
} from "@rattanvane/protocol";
import { ForwardingRowWriter } from "../forwarding_row_writer.ts";
import { pickCollector } from "../collectors.ts";
import {
  type Execute,
  type Execution,
  ExecutionKind,
  type KeyedCall,
  type KeyedCallResult,
} from "../execution.ts";
import { KeyForwarder } from "../key_forwarder.ts";
import { KeyedCalls } from "../keyed_calls.ts";
import { LocalRowWriter } from "../local_row_writer.ts";
import type { OnceLimits } from "../once_limits.ts";

const STEP_MILLISECONDS = 5;
const MAXIMUM_STEPS = 40_000;

/** A router of the fleet, which tests can kill and restart. */
export interface FleetVm {
  vm: VmId;
  calls: KeyedCalls;
  forwarder: KeyForwarder;
  writer: ForwardingRowWriter;
  stop: AbortController;
}

class FleetSender extends MessageSender {
  readonly #deliver: (vm: VmId, message: Message) => void;

  constructor(deliver: (vm: VmId, message: Message) => void) {
    super();
    this.#deliver = deliver;
  }

  override send(vm: VmId, message: Message): void {
    this.#deliver(vm, message);
  }

  override registerContact(): void {}
}

/** A fake endpoint that counts the runs of jobs and returns scripted outcomes. */
export class FakeEndpoint {
  readonly runs = new Map<string, number>();
  /** While set, calls that have run wait for it before they are answered. */
  hold: Deferred<void> | undefined;
  /** The outcomes of the next calls; later calls are answered. */
  script: ("stall" | "refuse" | "lose" | "throw")[] = [];
  answerBytes = 20;

  countRuns(job: string): number {
    return this.runs.get(job) ?? 0;
  }

  createExecute(job: string): Execute {
    return () => this.#run(job);
  }

  async #run(job: string): Promise<Execution> {
    const step = this.script.shift();
    if (step === "stall") {
      await new Promise(() => {});
    }
    if (step === "refuse") {
      return { kind: ExecutionKind.NotRun, reason: "no endpoint" };
    }
    this.runs.set(job, this.countRuns(job) + 1);
    await this.hold?.promise;
    if (step === "throw") {
      throw new Error("scripted");
    }
    if (step === "lose") {
      return { kind: ExecutionKind.Unknown, reason: "connection lost" };
    }
    return createAnswer(job, this.answerBytes);
  }
}

/** Creates the only correct answer to a job. */
export function createAnswer(job: string, bytes: number): Execution {
  const text = `${job} done `.padEnd(bytes, "x");
  const body = new Uint8Array(new TextEncoder().encode(text));
  return { kind: ExecutionKind.Answered, status: 200, headers: [], body };
}

/** VMs that share a table, with fault injection. */
export class OnceFleet {
  readonly clock = new ManualClock();
  readonly faults = new PlatformFaults(this.clock);
  readonly table = new MemoryTableService(this.faults);
  readonly objects = new MemoryObjectStore(this.faults);
  readonly endpoint = new FakeEndpoint();
  /** Pairs of VMs that cannot reach each other, as "a-b" with names in order. */
  readonly partitions = new Set<string>();
  /** VMs that the others consider dead. */
  readonly deadVms = new Set<VmId>();
  /** The number of next messages between VMs that are lost. */
  lostMessages = 0;
  /** The number of results of keys that VMs have sent to each other. */
  sentResults = 0;
  readonly #limits: Partial<OnceLimits>;
  readonly #collectors: readonly VmId[];
  readonly #vms = new Map<VmId, FleetVm>();
  #incarnations = 0;

  /** Creates a fleet; without collectors each VM writes its own rows. */
  constructor(
    limits: Partial<OnceLimits> = {},
    collectors: readonly VmId[] = [],
  ) {
    this.#limits = limits;
    this.#collectors = collectors;
  }

  /** Returns a VM by its name; starts it when it is not running. */
  vm(name: VmId): FleetVm {
    const running = this.#vms.get(name);
    if (running !== undefined) {
      return running;
    }
    const started = this.#start(name);
    this.#vms.set(name, started);
    return started;
  }

  /** Kills a VM's process; the next use starts a process without its state. */
  kill(name: VmId): void {
    this.#vms.get(name)?.stop.abort();
    this.#vms.delete(name);
  }

  /** Sends a call to a VM; its runs are counted under the job's name. */
  startCall(
    name: VmId,
    options: { key: string; job: string; signal?: AbortSignal },
  ): Promise<KeyedCallResult> {
    const { key, job, signal = new AbortController().signal } = options;
    const execute = this.endpoint.createExecute(job);
    return this.vm(name).calls.run(createCall(key, job), execute, signal);
  }

  /** Advances the clock until the table contains the row of a key. */
  async waitForRow(): Promise<void> {
    while (!this.table.listKeys().some((key) => key.startsWith("once/"))) {
      await this.clock.advance(1);
    }
  }

  /** Advances the clock until a promise is settled. */
  async wait<Value>(promise: Promise<Value>): Promise<Value> {
    let settled = false;
    const observed = promise.finally(() => settled = true);
    for (let step = 0; !settled && step < MAXIMUM_STEPS; step++) {
      await this.clock.advance(STEP_MILLISECONDS);
    }
    if (!settled) {
      throw new Error(
        "The promise has not settled within the maximum number of steps",
      );
    }
    return await observed;
  }

  /** Sends a call and waits for its result. */
  async runCall(
    name: VmId,
    options: { key: string; job: string },
  ): Promise<KeyedCallResult> {
    return await this.wait(this.startCall(name, options));
  }

  #start(name: VmId): FleetVm {
    const { clock, table, objects } = this;
    const stop = new AbortController();
    this.#incarnations++;
    const incarnation = `i${this.#incarnations}`;
    const random = new RandomSource(this.#incarnations);
    const sender = new FleetSender((to, message) =>
      this.#deliver(name, { to, message, stop: stop.signal })
    );
    const forwarder = new KeyForwarder({
      correlationPrefix: `${name}-${incarnation}`,
      sender,
      clock,
      isLive: (vm) => !this.deadVms.has(vm),
      isReachable: () => true,
      runForwarded: (call, signal) => {
        const job = new TextDecoder().decode(call.body);
        return calls.run(call, this.endpoint.createExecute(job), signal);
      },
      timeoutMilliseconds: 10_000,
      resendMilliseconds: 500,
    }, stop.signal);
    const writer = new ForwardingRowWriter({
      self: name,
      correlationPrefix: `${name}-${incarnation}`,
      sender,
      clock,
      local: new LocalRowWriter({
        table,
        clock,
        random,
        writerId: `${name}-${incarnation}`,
        batchMilliseconds: 10,
      }, stop.signal),
      findCollector: (key) =>
        pickCollector(key, { self: name, collectors: this.#collectors }),
      timeoutMilliseconds: 2_000,
    }, stop.signal);
    const calls: KeyedCalls = new KeyedCalls({
      vm: name,
      incarnation,
      secret: new TextEncoder().encode(`secret of ${name} ${incarnation}`),
      table,
      objects,
      writer,
      forwarder,
      clock,
      random,
      logger: createSilentLogger(),
      limits: this.#limits,
    }, stop.signal);
    return { vm: name, calls, forwarder, writer, stop };
  }

  #deliver(
    from: VmId,
    options: { to: VmId; message: Message; stop: AbortSignal },
  ): void {
    const { to, message, stop } = options;
    this.sentResults += message.kind === MessageKind.KeyResult ? 1 : 0;
    const isPartitioned = this.partitions.has([from, to].sort().join("-"));
    if (isPartitioned || stop.aborted) {
      return;
    }
    if (this.lostMessages > 0) {
      this.lostMessages--;
      return;
    }
    setImmediate(() => {
      const vm = this.#vms.get(to);
      if (vm !== undefined) {
        handleMessage(vm, message, from);
      }
    });
  }
}

/** Dispatches a message; these VMs exchange only messages about keys and rows. */
function handleMessage(vm: FleetVm, message: Message, from: VmId): void {
  switch (message.kind) {
    case MessageKind.RunKey:
    case MessageKind.KeyResult:
      return vm.forwarder.handle(message, from);
    case MessageKind.WriteRow:
    case MessageKind.RowResult:
      return vm.writer.handle(message, from);
  }
}

/** Creates a call that submits a print job of an organisation. */
export function createCall(key: string, job: string): KeyedCall {
  return {
    key,
    organisation: "bakery",
    service: "printer",
    method: "POST",
    path: "/print",
    headers: [],
    body: new TextEncoder().encode(job),
  };
}

/** Creates a UUIDv7 of a wall time; the number distinguishes keys of one time. */
export function createDatedKey(wallTime: number, number = 1): string {
  const time = Math.floor(wallTime).toString(16).padStart(12, "0");
  const last = number.toString(16).padStart(12, "0");
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${last}`;
}

/** Describes the result that a caller gets: its answer, outcome or error kind. */
export function describeResult(result: KeyedCallResult): string {
  if (result.isErr()) {
    return result.error.kind;
  }
  const { execution } = result.value;
  return execution.kind === ExecutionKind.Answered
    ? new TextDecoder().decode(execution.body).trimEnd()
    : execution.kind;
}

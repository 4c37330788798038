/** Measures what a pool's scheduler costs by the size of its queue. */

import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import {
  createSilentLogger,
  ManualClock,
  RandomSource,
} from "@rattanvane/base";
import {
  createEmptyConfiguration,
  type Endpoint,
  type FleetConfiguration,
  ServiceKind,
} from "@rattanvane/configuration";
import { DEFAULT_SUSPECT_SETTINGS, SuspectRegistry } from "@rattanvane/limits";
import {
  AttemptOutcome,
  type GrantMessage,
  type Message,
  MessageKind,
  MessageSender,
  type QueueEntry,
  type VmContact,
  type VmId,
} from "@rattanvane/protocol";
import {
  DEFAULT_POOL_SCHEDULER_SETTINGS,
  PoolScheduler,
} from "@rattanvane/scheduling";

/** A queue to measure. */
export interface SchedulerSize {
  /** Organisations with waiting requests. */
  organisations: number;
  /** Requests that wait. */
  entries: number;
  /** Endpoints of the pool. */
  endpoints: number;
}

/** What one size costs. */
export interface SchedulerFigures extends SchedulerSize {
  /** Requests a second that one core takes in, grants, follows and ends. */
  requestsPerSecond: number;
  /** Processor time of one request's messages, in microseconds. */
  microsecondsPerRequest: number;
  /** Heap for each waiting request, in bytes. */
  bytesPerEntry: number;
}

const POOL = { zone: "z", service: "model" };
const VM = "vm";
const SLOTS_PER_ENDPOINT = 16;
const MEASURED_REQUESTS = 20_000;
const WARM_UP_REQUESTS = 5000;
const HIGHEST_COST = 1000;

/** Runs one scheduler for each size; the figures depend on the machine. */
export function measureScheduler(
  sizes: readonly SchedulerSize[],
  seed: number,
): Promise<SchedulerFigures[]> {
  return sizes.reduce<Promise<SchedulerFigures[]>>(
    async (figures, size) => [
      ...await figures,
      await measureSize(size, new RandomSource(seed)),
    ],
    Promise.resolve([]),
  );
}

async function measureSize(
  size: SchedulerSize,
  random: RandomSource,
): Promise<SchedulerFigures> {
  const load = new SchedulerLoad(size, random);
  await load.start();
  load.fillSlots();
  const before = measureHeap();
  load.addEntries(size.entries);
  const bytes = measureHeap() - before;
  load.runRequests(WARM_UP_REQUESTS);
  const cpuBefore = process.cpuUsage();
  load.runRequests(MEASURED_REQUESTS);
  const cpu = process.cpuUsage(cpuBefore);
  const microseconds = (cpu.user + cpu.system) / MEASURED_REQUESTS;
  return {
    ...size,
    requestsPerSecond: Math.round(1e6 / microseconds),
    microsecondsPerRequest: microseconds,
    bytesPerEntry: Math.round(bytes / size.entries),
  };
}

/** Keeps a queue at its size while requests go through it. */
class SchedulerLoad {
  readonly #size: SchedulerSize;
  readonly #random: RandomSource;
  readonly #clock = new ManualClock();
  readonly #sender = new GrantCollector();
  readonly #scheduler: PoolScheduler;
  #next = 0;

  constructor(size: SchedulerSize, random: RandomSource) {
    this.#size = size;
    this.#random = random;
    this.#scheduler = new PoolScheduler({
      pool: POOL,
      term: { number: 1, holder: VM },
      leased: true,
      self: VM,
      sender: this.#sender,
      clock: this.#clock,
      random,
      logger: createSilentLogger(),
      settings: {
        ...DEFAULT_POOL_SCHEDULER_SETTINGS,
        queueLimit: Infinity,
      },
      findContact: () => undefined,
      suspects: new SuspectRegistry(this.#clock, DEFAULT_SUSPECT_SETTINGS),
    });
  }

  /** Brings the scheduler past its rebuild. */
  async start(): Promise<void> {
    this.#scheduler.updateConfiguration(buildConfiguration(this.#size));
    this.#scheduler.updatePeers({ ingresses: [VM], siblings: [] });
    this.#scheduler.handle(VM, {
      kind: MessageKind.WorkReport,
      pool: POOL,
      waiting: [],
      running: [],
    });
    const { rebuildMilliseconds } = DEFAULT_POOL_SCHEDULER_SETTINGS;
    await this.#clock.advance(rebuildMilliseconds);
  }

  /** Adds requests until every slot is used and none waits. */
  fillSlots(): void {
    this.addEntries(this.#size.endpoints * SLOTS_PER_ENDPOINT);
  }

  addEntries(count: number): void {
    for (let added = 0; added < count; added++) {
      this.#scheduler.handle(VM, {
        kind: MessageKind.Enqueue,
        pool: POOL,
        entry: this.#createEntry(),
      });
    }
  }

  /** Ends the oldest attempts one by one, and adds a request for each. */
  runRequests(count: number): void {
    for (let done = 0; done < count; done++) {
      const grant = this.#sender.removeOldest();
      const cost = this.#random.nextInteger(1, HIGHEST_COST);
      this.#sendEnd(grant, cost);
      this.addEntries(1);
    }
  }

  #sendEnd(grant: GrantMessage, cost: number): void {
    const { attempt, request, endpoint } = grant;
    this.#scheduler.handle(VM, {
      kind: MessageKind.Progress,
      pool: POOL,
      attempts: [{ attempt, cost: cost / 2, bootId: "b" }],
    });
    this.#scheduler.handle(VM, {
      kind: MessageKind.Finish,
      pool: POOL,
      request,
      attempt,
      endpoint,
      outcome: AttemptOutcome.Completed,
      cost,
      firstByteMilliseconds: 50,
      durationMilliseconds: cost,
      bootId: "b",
    });
  }

  #createEntry(): QueueEntry {
    const number = this.#next++;
    return {
      request: `${VM}-${number}`,
      ingress: VM,
      organisation: `organisation-${number % this.#size.organisations}`,
      attemptsMade: 0,
      hintedCost: 0,
      waitLimitMilliseconds: 60_000 + this.#random.nextInteger(0, 60_000),
      waitedMilliseconds: 0,
      fingerprint: `fingerprint-${number}`,
      prefix: `prefix-${number % 500}`,
      avoid: [],
    };
  }
}

/** Keeps the grants that the scheduler sends. */
class GrantCollector extends MessageSender {
  #grants: GrantMessage[] = [];
  #taken = 0;

  override send(_vm: VmId, message: Message): void {
    if (message.kind === MessageKind.Grant) {
      this.#grants.push(message);
    }
  }

  override registerContact(_contact: VmContact): void {}

  /** Takes the grant that was sent first. */
  removeOldest(): GrantMessage {
    const grant = this.#grants[this.#taken++] as GrantMessage;
    if (this.#taken * 2 > this.#grants.length) {
      this.#grants = this.#grants.slice(this.#taken);
      this.#taken = 0;
    }
    return grant;
  }
}

function buildConfiguration(size: SchedulerSize): FleetConfiguration {
  const endpoints = new Map<string, Endpoint>();
  for (let index = 0; index < size.endpoints; index++) {
    const name = `endpoint-${index}`;
    endpoints.set(name, {
      name,
      zone: POOL.zone,
      service: POOL.service,
      url: "",
      coldLimit: SLOTS_PER_ENDPOINT,
      limitCeiling: SLOTS_PER_ENDPOINT,
      drained: false,
      checksFencing: false,
    });
  }
  const service = {
    name: POOL.service,
    kind: ServiceKind.Model,
    repeatRules: [],
    initialCostEstimate: HIGHEST_COST / 2,
  };
  const zone = { name: POOL.zone, region: "r", drained: false };
  return {
    ...createEmptyConfiguration(),
    version: 1,
    zones: new Map([[POOL.zone, zone]]),
    services: new Map([[POOL.service, service]]),
    endpoints,
  };
}

/** The heap in use after a collection, in bytes. */
function measureHeap(): number {
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as () => void;
  collect();
  return process.memoryUsage().heapUsed;
}

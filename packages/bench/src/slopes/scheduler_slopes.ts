/** What a grant and a waiting entry cost the scheduler of one pool. */

import { setMaxListeners } from "node:events";
import {
  createSilentLogger,
  ManualClock,
  RandomSource,
} from "@rattanvane/base";
import type { FleetConfiguration } from "@rattanvane/configuration";
import { DEFAULT_SUSPECT_SETTINGS, SuspectRegistry } from "@rattanvane/limits";
import {
  AttemptOutcome,
  type GrantMessage,
  type Message,
  MessageKind,
  MessageSender,
} from "@rattanvane/protocol";
import {
  DEFAULT_POOL_SCHEDULER_SETTINGS,
  PoolScheduler,
} from "@rattanvane/scheduling";
import { readHeapBytes, readProcessorMicroseconds } from "./resources.ts";
import { createSampleConfiguration } from "./sample_configuration.ts";
import { createSampleEntry, SAMPLE_POOL } from "./sample_messages.ts";
import type { Slope, SlopePoint } from "./slope.ts";

const INGRESS = "vm-a012";
const SCHEDULER = "vm-a034";
const ORGANISATION_COUNTS = [12, 120, 1200, 12_000];
const ENTRY_COUNTS = [1000, 10_000, 100_000];
const BACKLOGGED = 1200;
const ENTRIES = 100_000;
const GRANTS = 20_000;
const PROGRESS_PER_GRANT = 2;
const COST = 64;
const SETTLE_MILLISECONDS = 3000;

/** Keeps grants until they are answered. */
class GrantCollector extends MessageSender {
  readonly grants: GrantMessage[] = [];

  override learnContact(): void {}

  override send(_vm: string, message: Message): void {
    if (message.kind === MessageKind.Grant) {
      this.grants.push(message);
    }
  }
}

/** A scheduler with a queue, and an ingress that answers at once. */
class SchedulerBench {
  readonly #sender = new GrantCollector();
  readonly #clock = new ManualClock();
  readonly #scheduler: PoolScheduler;
  #entries = 0;

  constructor(configuration: FleetConfiguration) {
    this.#scheduler = new PoolScheduler({
      pool: SAMPLE_POOL,
      term: { number: 1, holder: SCHEDULER },
      leased: true,
      self: SCHEDULER,
      sender: this.#sender,
      clock: this.#clock,
      random: new RandomSource(1),
      logger: createSilentLogger(),
      settings: DEFAULT_POOL_SCHEDULER_SETTINGS,
      suspects: new SuspectRegistry(this.#clock, DEFAULT_SUSPECT_SETTINGS),
    });
    this.#scheduler.updateConfiguration(configuration);
    this.#scheduler.updatePeers({ ingresses: [INGRESS], siblings: [] });
  }

  /** Ends the rebuild after a start. */
  async start(signal: AbortSignal): Promise<void> {
    setMaxListeners(0, signal);
    void this.#scheduler.run(signal);
    this.#scheduler.handle(INGRESS, {
      kind: MessageKind.WorkReport,
      pool: SAMPLE_POOL,
      waiting: [],
      running: [],
    });
    await this.#clock.advance(SETTLE_MILLISECONDS);
  }

  /** Queues requests, spread over so many organisations. */
  enqueue(count: number, organisations: number): void {
    for (let index = 0; index < count; index++) {
      this.#entries++;
      const organisation = `organisation-${this.#entries % organisations}`;
      this.#scheduler.handle(INGRESS, {
        kind: MessageKind.Enqueue,
        pool: SAMPLE_POOL,
        entry: createSampleEntry(this.#entries, organisation),
      });
    }
  }

  /** Ends attempts and queues as many new requests; returns the grants. */
  serve(count: number, organisations: number): number {
    let served = 0;
    while (served < count) {
      const grant = this.#sender.grants.shift();
      if (grant === undefined) {
        break;
      }
      this.#finish(grant);
      this.enqueue(1, organisations);
      served++;
    }
    return served;
  }

  #finish(grant: GrantMessage): void {
    const { pool, request, attempt, endpoint } = grant;
    for (let step = 1; step <= PROGRESS_PER_GRANT; step++) {
      const cost = step * COST;
      this.#scheduler.handle(INGRESS, {
        kind: MessageKind.Progress,
        pool,
        attempt,
        cost,
      });
    }
    this.#scheduler.handle(INGRESS, {
      kind: MessageKind.Finish,
      pool,
      request,
      attempt,
      endpoint,
      outcome: AttemptOutcome.Completed,
      cost: COST * (1 + PROGRESS_PER_GRANT),
      firstByteMilliseconds: COST,
      durationMilliseconds: COST,
      bootId: "boot-1",
    });
  }
}

/** Measures grants by organisations and by entries, and memory by entries. */
export async function measureSchedulerSlopes(
  signal: AbortSignal,
): Promise<Slope[]> {
  const byOrganisations: SlopePoint[] = [];
  for (const organisations of ORGANISATION_COUNTS) {
    const value = await measureGrant(
      { organisations, entries: ENTRIES },
      signal,
    );
    byOrganisations.push({ size: organisations, value });
  }
  const byEntries: SlopePoint[] = [];
  const memory: SlopePoint[] = [];
  for (const entries of ENTRY_COUNTS) {
    const size = { organisations: BACKLOGGED, entries };
    byEntries.push({ size: entries, value: await measureGrant(size, signal) });
    memory.push({ size: entries, value: await measureMemory(size, signal) });
  }
  return [
    {
      name: `a grant with ${ENTRIES} waiting, its messages handled`,
      sizeUnit: "backlogged organisation",
      unit: "us",
      points: byOrganisations,
    },
    {
      name: `a grant with ${BACKLOGGED} organisations, its messages handled`,
      sizeUnit: "waiting entry",
      unit: "us",
      points: byEntries,
    },
    {
      name: "memory of a waiting entry at its scheduler",
      sizeUnit: "waiting entry",
      unit: "bytes",
      points: memory,
    },
  ];
}

interface QueueSize {
  organisations: number;
  entries: number;
}

/** Processor time of one request's messages, in microseconds. */
async function measureGrant(
  { organisations, entries }: QueueSize,
  signal: AbortSignal,
): Promise<number> {
  const end = new AbortController();
  const lifetime = AbortSignal.any([end.signal, signal]);
  const bench = new SchedulerBench(createSampleConfiguration(organisations));
  await bench.start(lifetime);
  bench.enqueue(entries, organisations);
  bench.serve(GRANTS, organisations);
  const before = readProcessorMicroseconds();
  const served = bench.serve(GRANTS, organisations);
  const used = readProcessorMicroseconds() - before;
  end.abort();
  return used / served;
}

async function measureMemory(
  { organisations, entries }: QueueSize,
  signal: AbortSignal,
): Promise<number> {
  const end = new AbortController();
  const lifetime = AbortSignal.any([end.signal, signal]);
  const bench = new SchedulerBench(createSampleConfiguration(organisations));
  await bench.start(lifetime);
  const before = await readHeapBytes();
  bench.enqueue(entries, organisations);
  const used = await readHeapBytes() - before;
  end.abort();
  // The bench is still needed, so that its queue is not collected.
  bench.serve(1, organisations);
  return used;
}

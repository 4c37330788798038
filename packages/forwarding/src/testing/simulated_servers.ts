/** Servers of unequal and changing speed, and schedulers that share them. */

import { ManualClock, RandomSource } from "@rattanvane/base";
import type { Prompt, SchedulableCall } from "../model/call.ts";
import type { ForwardingRoute } from "../model/route.ts";
import {
  buildSendState,
  type SendState,
} from "../scheduling/completion_times.ts";
import type {
  Choice,
  EndpointChooser,
} from "../scheduling/endpoint_chooser.ts";
import { EndpointState } from "../scheduling/endpoint_state.ts";
import { ShareUsage } from "../scheduling/share_meter.ts";
import { buildCall, buildEndpoint, NO_RESTRICTIONS } from "./fixtures.ts";

const SPEEDS = [0.55, 1.2, 1.2, 1.2];
const NOISE_SHARE = 0.15;
const NOISE_SLOWDOWN = 2.5;
const NOISE_MILLISECONDS = 600;
const EXCHANGE_MILLISECONDS = 100;
/** With more peers, the intervals of the exchange grow in proportion. */
const PEERS_AT_FULL_RATE = 8;
const WARM_UP_MILLISECONDS = 8_000;
const RUN_MILLISECONDS = 4_000;
const PROMPT_TOKENS = 200;

/** Servers, their load and the schedulers that share them. */
export interface SimulatedServersOptions {
  seed: number;
  servers: number;
  /** Requests that one server works on at a time. */
  slots: number;
  /** The mean work of a request, at a server of speed 1. */
  workMilliseconds: number;
  /** The offered load as a fraction of the capacity. */
  load: number;
  schedulers: number;
  route: ForwardingRoute;
}

/** How one scheduler decides and learns. */
export interface SimulatedScheduling {
  chooser: EndpointChooser;
  recordTime: (sent: SentRequest, milliseconds: number) => void;
}

/** A request with what was known when it was sent. */
export interface SentRequest {
  choice: Choice;
  state: SendState;
}

interface Waiting {
  call: SchedulableCall;
  arrivedAt: number;
  work: number;
}

/** Work at a server, in milliseconds that are left at speed 1. */
interface Task {
  left: number;
  finish: () => void;
}

/** One server that works on a few requests at a time, in order of arrival. */
class Server {
  readonly #speed: number;
  readonly #slots: number;
  readonly #noiseOffset: number;
  #tasks: Task[] = [];
  slowdown = 1;

  constructor(speed: number, slots: number, noiseOffset: number) {
    this.#speed = speed;
    this.#slots = slots;
    this.#noiseOffset = noiseOffset;
  }

  get running(): number {
    return this.#tasks.length;
  }

  /** Works for one millisecond. */
  work(now: number, random: RandomSource): void {
    if ((now + this.#noiseOffset) % NOISE_MILLISECONDS === 0) {
      const isSlow = random.nextFraction() < NOISE_SHARE;
      this.slowdown = isSlow ? NOISE_SLOWDOWN : 1;
    }
    const done = this.#speed / this.slowdown;
    const ended: Task[] = [];
    for (const task of this.#tasks.slice(0, this.#slots)) {
      task.left -= done;
      if (task.left <= 0) {
        ended.push(task);
      }
    }
    if (ended.length > 0) {
      this.#tasks = this.#tasks.filter(({ left }) => left > 0);
      ended.forEach(({ finish }) => finish());
    }
  }

  /** Predicts how long a request takes if the speed stays as it is. */
  predict(work: number): number {
    const slots = this.#tasks.slice(0, this.#slots).map(({ left }) => left);
    const queued = this.#tasks.slice(this.#slots);
    slots.sort((first, second) => first - second);
    const isFree = slots.length < this.#slots;
    const ahead = queued.reduce((sum, { left }) => sum + left, 0);
    const wait = isFree ? 0 : (slots[0] as number) + ahead / this.#slots;
    return (wait + work) * this.slowdown / this.#speed;
  }

  add(work: number, finish: () => void): void {
    this.#tasks.push({ left: work, finish });
  }
}

interface Scheduler {
  endpoints: EndpointState[];
  /** Undefined lets the true state decide. */
  scheduling: SimulatedScheduling | undefined;
  waiting: Waiting[];
}

/** Plays the load of some options against their servers. */
class ServerLoad {
  readonly #options: SimulatedServersOptions;
  readonly #clock = new ManualClock();
  readonly #arrivals: RandomSource;
  readonly #noise: RandomSource;
  readonly #servers: Server[];
  readonly #schedulers: Scheduler[];
  readonly #completions: number[] = [];

  constructor(
    options: SimulatedServersOptions,
    createScheduling?: (random: RandomSource) => SimulatedScheduling,
  ) {
    this.#options = options;
    this.#arrivals = new RandomSource(options.seed);
    this.#noise = new RandomSource(options.seed + 1);
    const random = new RandomSource(options.seed + 2);
    this.#servers = Array.from(
      { length: options.servers },
      (_, index) =>
        new Server(
          SPEEDS[index % SPEEDS.length] as number,
          options.slots,
          (index * 37) % NOISE_MILLISECONDS,
        ),
    );
    this.#schedulers = Array.from(
      { length: createScheduling === undefined ? 1 : options.schedulers },
      () => ({
        endpoints: this.#servers.map((_, index) =>
          new EndpointState(
            buildEndpoint(`e${index}`, { slots: options.slots }),
            this.#clock,
          )
        ),
        scheduling: createScheduling?.(random),
        waiting: [],
      }),
    );
  }

  /** Returns the mean time from arrival to completion, in milliseconds. */
  async run(): Promise<number> {
    const peers = this.#schedulers.length - 1;
    const exchangeMilliseconds = Math.round(
      EXCHANGE_MILLISECONDS * Math.max(1, peers / PEERS_AT_FULL_RATE),
    );
    const rate = this.#computeArrivalsPerMillisecond();
    let arrived = 0;
    let expected = 0;
    for (let now = 0; now < WARM_UP_MILLISECONDS + RUN_MILLISECONDS; now++) {
      this.#servers.forEach((server) => server.work(now, this.#noise));
      this.#exchange(now, exchangeMilliseconds);
      expected += 2 * rate * this.#arrivals.nextFraction();
      for (; arrived < expected; arrived++) {
        this.#addRequest(now, arrived);
      }
      this.#schedulers.forEach((scheduler) => this.#sendWaiting(scheduler));
      await this.#clock.advance(1);
    }
    const { length } = this.#completions;
    return this.#completions.reduce((sum, time) => sum + time, 0) / length;
  }

  #computeArrivalsPerMillisecond(): number {
    const { slots, workMilliseconds, load, servers } = this.#options;
    const usualSlowdown = 1 + NOISE_SHARE * (NOISE_SLOWDOWN - 1);
    let speed = 0;
    for (let index = 0; index < servers; index++) {
      speed += SPEEDS[index % SPEEDS.length] as number;
    }
    return load * slots * speed / workMilliseconds / usualSlowdown;
  }

  #addRequest(now: number, index: number): void {
    const { workMilliseconds, route } = this.#options;
    const scheduler = this.#arrivals.nextInteger(
      0,
      this.#schedulers.length - 1,
    );
    this.#schedulers[scheduler]?.waiting.push({
      call: buildCall(now, { route, prompt: buildOwnPrompt(index) }),
      arrivedAt: now,
      work: workMilliseconds * (0.5 + this.#arrivals.nextFraction()),
    });
  }

  #sendWaiting(scheduler: Scheduler): void {
    const { waiting } = scheduler;
    const sent = waiting.findIndex((request) =>
      !this.#send(scheduler, request)
    );
    waiting.splice(0, sent === -1 ? waiting.length : sent);
  }

  /** Returns false for a request that has to wait. */
  #send(scheduler: Scheduler, request: Waiting): boolean {
    const { scheduling, endpoints } = scheduler;
    const recordCompletion = () => {
      if (request.arrivedAt >= WARM_UP_MILLISECONDS) {
        this.#completions.push(this.#clock.now() - request.arrivedAt);
      }
    };
    if (scheduling === undefined) {
      this.#findBest(request.work).add(request.work, recordCompletion);
      return true;
    }
    const choice = scheduling.chooser.choose({
      ...NO_RESTRICTIONS,
      call: request.call,
      remainingMilliseconds: request.call.route.objectiveMilliseconds,
      shareUsage: ShareUsage.Low,
      spareCapacityFactor: 1,
    }, [...endpoints]);
    if (typeof choice !== "object") {
      return false;
    }
    const { endpoint } = choice;
    const server = this.#servers[endpoints.indexOf(endpoint)] as Server;
    const attempt = endpoint.addAttempt(choice.work);
    const sent = { choice, state: buildSendState(endpoint) };
    const sentAt = this.#clock.now();
    server.add(request.work, () => {
      recordCompletion();
      const { running, slowdown } = server;
      endpoint.speed.record({ running, slowdown, ageMilliseconds: 0 });
      endpoint.markResponding(attempt);
      scheduling.recordTime(sent, this.#clock.now() - sentAt);
      endpoint.removeAttempt(attempt);
    });
    return true;
  }

  #findBest(work: number): Server {
    let best = this.#servers[0] as Server;
    let shortest = Infinity;
    for (const server of this.#servers) {
      const time = server.predict(work);
      if (time < shortest) {
        best = server;
        shortest = time;
      }
    }
    return best;
  }

  /** Schedulers send their state one after the other, each once in a period. */
  #exchange(now: number, periodMilliseconds: number): void {
    const { length } = this.#schedulers;
    for (const [index, { endpoints }] of this.#schedulers.entries()) {
      const offset = Math.floor(index * periodMilliseconds / length);
      if (now % periodMilliseconds !== offset) {
        continue;
      }
      const uses = endpoints.map((endpoint) => endpoint.buildLocalUse());
      for (const other of this.#schedulers) {
        if (other.endpoints !== endpoints) {
          uses.forEach((use, position) =>
            other.endpoints[position]?.mergePeer(`vm-${index}`, use)
          );
        }
      }
    }
  }
}

/** Builds a short prompt that shares no part with others. */
function buildOwnPrompt(index: number): Prompt {
  const parts = [{ id: `own-${index}`, tokens: PROMPT_TOKENS }];
  return { tokens: PROMPT_TOKENS, outputTokens: 10, parts };
}

/**
 * Returns the mean time from arrival to completion, in milliseconds. Without
 * schedulings, the true state of the servers decides.
 */
export function measureMeanCompletion(
  options: SimulatedServersOptions,
  createScheduling?: (random: RandomSource) => SimulatedScheduling,
): Promise<number> {
  return new ServerLoad(options, createScheduling).run();
}

import {
  Clock,
  createLifetime,
  createSilentLogger,
  ManualClock,
  RandomSource,
} from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import {
  buildCall,
  buildEndpoint,
  buildPrompt,
  buildService,
  NO_RESTRICTIONS,
} from "../testing/fixtures.ts";
import {
  type Choice,
  type ChoiceRequest,
  EndpointChooser,
  NoCapacityReason,
} from "./endpoint_chooser.ts";
import { EndpointState } from "./endpoint_state.ts";
import { EngineChooser } from "./engine_chooser.ts";
import { PrefillModel } from "./prefill_model.ts";
import { type Grant, ServiceScheduler } from "./service_scheduler.ts";
import { ShareMeter, ShareUsage } from "./share_meter.ts";

const ENGINES = 98;
const SLOTS = 12;
const MEMORY_TOKENS = 260_000;
const WAITING = 50;
const CHOICE_MILLISECONDS = 0.1;
const NEVER_ABORTED = createLifetime().signal;

function buildEngineRequest(changes: Partial<ChoiceRequest> = {}) {
  return {
    call: buildCall(0, { prompt: buildPrompt("part", 500) }),
    avoid: new Set<string>(),
    excluded: new Set<string>(),
    remainingMilliseconds: 400,
    shareUsage: ShareUsage.Low,
    spareCapacityFactor: 1,
    ...changes,
  };
}

/** Creates engines at which peers have so much that no limit is kept. */
function createFullEngines(clock: Clock): EndpointState[] {
  return Array.from({ length: ENGINES }, (_, index) => {
    const endpoint = new EndpointState(buildEndpoint(`engine-${index}`), clock);
    endpoint.mergePeer("peer", {
      endpoint: endpoint.record.id,
      running: SLOTS,
      prefillTokens: 0,
      recentTokens: 0,
    });
    return endpoint;
  });
}

function createChooser(): EngineChooser {
  return new EngineChooser(
    { slots: SLOTS, memoryTokens: MEMORY_TOKENS },
    new PrefillModel(0.01),
  );
}

/** A clock that a busy process moves on. */
class BusyClock extends Clock {
  readonly manual = new ManualClock();
  #busyMilliseconds = 0;
  #interruptionMilliseconds = 0;

  override now(): number {
    return this.manual.now() + this.#busyMilliseconds;
  }

  override wallTime(): number {
    return this.now();
  }

  override sleep(milliseconds: number, signal: AbortSignal): Promise<void> {
    return this.manual.sleep(milliseconds, signal);
  }

  /** Lets the next work take longer, as when another process runs. */
  interruptNext(milliseconds: number): void {
    this.#interruptionMilliseconds = milliseconds;
  }

  spend(milliseconds: number): void {
    this.#busyMilliseconds += milliseconds + this.#interruptionMilliseconds;
    this.#interruptionMilliseconds = 0;
  }

  get busyMilliseconds(): number {
    return this.#busyMilliseconds;
  }
}

/** Grants the first requests; after that every look takes time in vain. */
class SlowChooser extends EndpointChooser {
  readonly #clock: BusyClock;
  #left: number;

  constructor(clock: BusyClock, grants: number) {
    super();
    this.#clock = clock;
    this.#left = grants;
  }

  override choose(
    _request: ChoiceRequest,
    [endpoint]: readonly EndpointState[],
  ): Choice | NoCapacityReason {
    if (endpoint === undefined || this.#left === 0) {
      this.#clock.spend(CHOICE_MILLISECONDS);
      return NoCapacityReason.Busy;
    }
    this.#left--;
    return {
      endpoint,
      work: { tokens: 0, pairs: 0 },
      totalWork: { tokens: 0, pairs: 0 },
      missingTokens: 0,
      predictedMilliseconds: 0,
      isLong: false,
    };
  }

  override describeLimits(): string {
    this.#clock.spend(CHOICE_MILLISECONDS);
    return "";
  }
}

function createSlowScheduler(grants: number) {
  const clock = new BusyClock();
  const scheduler = new ServiceScheduler({
    service: buildService({ engine: undefined }),
    chooser: new SlowChooser(clock, grants),
    shares: new ShareMeter({ clock, periodMilliseconds: 4_000 }),
    clock,
    random: new RandomSource(1),
    logger: createSilentLogger(),
    notifyPeers: () => {},
    coldBound: { coldMilliseconds: 3_000, arrivalsPerSecond: 30 },
    countVms: () => 3,
    signal: NEVER_ABORTED,
  });
  scheduler.updateEndpoint(buildEndpoint("e1"), true);
  return { clock, scheduler };
}

/** Load: an overloaded service of 98 engines and 800 ends of attempts a second. */
describe("the cost of decisions", () => {
  it("examines no prompt cache of an engine that is full for every request", () => {
    const endpoints = createFullEngines(new ManualClock());
    let examined = 0;
    for (const { cache } of endpoints) {
      cache.countMissingTokens = () => {
        examined++;
        return 0;
      };
    }
    const chooser = createChooser();
    for (let request = 0; request < WAITING; request++) {
      expect(chooser.choose(buildEngineRequest(), endpoints))
        .to.equal(NoCapacityReason.Busy);
    }
    expect(examined).to.equal(0);
  });

  it("examines each engine once for a request that is granted", () => {
    const clock = new ManualClock();
    const endpoints = Array.from(
      { length: ENGINES },
      (_, index) => new EndpointState(buildEndpoint(`engine-${index}`), clock),
    );
    let examined = 0;
    for (const { cache } of endpoints) {
      cache.countMissingTokens = () => {
        examined++;
        return 5_000;
      };
    }
    const choice = createChooser().choose(buildEngineRequest(), endpoints);
    expect(choice).to.be.an("object");
    expect(examined).to.be.at.most(ENGINES);
  });

  it("sums the reports of peers once for many requests", () => {
    const clock = new ManualClock();
    const endpoint = new EndpointState(buildEndpoint("engine"), clock);
    const report = {
      endpoint: "engine",
      running: 2,
      prefillTokens: 100,
      recentTokens: 200,
    };
    endpoint.mergePeer("one", report);
    endpoint.mergePeer("two", report);
    const before = endpoint.recentPrefill.tokens;
    expect([endpoint.running, endpoint.pendingTokens, before])
      .to.deep.equal([4, 200, 400]);
    endpoint.mergePeer("one", undefined);
    expect([endpoint.running, endpoint.pendingTokens]).to.deep.equal([2, 100]);
  });

  it("drops the reports of silent peers and of prompts that are past", async () => {
    const clock = new ManualClock();
    const endpoint = new EndpointState(buildEndpoint("engine"), clock);
    endpoint.mergePeer("one", {
      endpoint: "engine",
      running: 2,
      prefillTokens: 100,
      recentTokens: 200,
    });
    endpoint.markResponding(endpoint.addAttempt({ tokens: 300, pairs: 1 }));
    expect(endpoint.recentPrefill.tokens).to.equal(500);
    await clock.advance(300);
    expect(endpoint.recentPrefill.tokens).to.equal(200);
    await clock.advance(701);
    expect(endpoint.running).to.equal(1);
    expect(endpoint.recentPrefill.tokens).to.equal(0);
  });

  it("a pass in which the process is interrupted delays the next by 50 ms at most", async () => {
    const { clock, scheduler } = createSlowScheduler(1);
    const submit = () =>
      scheduler.submit(
        buildCall(clock.now(), { deadlineAt: 60_000 }),
        NO_RESTRICTIONS,
        NEVER_ABORTED,
      );
    const { grant } = await submit();
    void submit();
    const spentBefore = clock.busyMilliseconds;
    clock.interruptNext(400);
    scheduler.markResponding(grant as Grant);
    expect(clock.busyMilliseconds - spentBefore).to.be.at.least(400);
    const looksBefore = clock.busyMilliseconds;
    await clock.manual.advance(60);
    expect(clock.busyMilliseconds).to.be.greaterThan(looksBefore);
  });

  it("passes over a long queue take at most a quarter of the time", async () => {
    const grants: Grant[] = [];
    const { clock, scheduler } = createSlowScheduler(WAITING);
    for (let request = 0; request < 2 * WAITING; request++) {
      const call = buildCall(clock.now(), { deadlineAt: 60_000 });
      void scheduler.submit(call, NO_RESTRICTIONS, NEVER_ABORTED).then(
        ({ grant }) => grant === undefined || grants.push(grant),
      );
    }
    await clock.manual.advance(1);
    const spentBefore = clock.busyMilliseconds;
    const startedAt = clock.now();
    for (const grant of grants) {
      for (let message = 0; message < 4; message++) {
        scheduler.markResponding(grant);
        await clock.manual.advance(1.25);
      }
    }
    const spent = clock.busyMilliseconds - spentBefore;
    expect(grants).to.have.lengthOf(WAITING);
    expect(spent / (clock.now() - startedAt)).to.be.at.most(0.25);
  });
});

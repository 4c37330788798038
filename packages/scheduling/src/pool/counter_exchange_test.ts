import {
  createSilentLogger,
  ManualClock,
  RandomSource,
} from "@rattanvane/base";
import { DEFAULT_SUSPECT_SETTINGS, SuspectRegistry } from "@rattanvane/limits";
import {
  type CounterDeltaMessage,
  encodeMessage,
  type Message,
  MessageKind,
  MessageSender,
} from "@rattanvane/protocol";
import { expect } from "chai";
import { describe, it } from "mocha";
import { CounterExchange } from "./counter_exchange.ts";
import { PoolState } from "./pool_state.ts";
import { DEFAULT_POOL_SCHEDULER_SETTINGS } from "./settings.ts";
import { Siblings } from "./siblings.ts";

const SERVICE = "service";
const SIBLING_ZONES = ["z2", "z3", "z4", "z5"];
const RUN_SECONDS = 60;

/** Bytes that a link adds to a message: a header and an authentication tag. */
const FRAME_OVERHEAD_BYTES = 20;

const TICK_MILLISECONDS = 100;
const SIBLING_TIMEOUT_MILLISECONDS =
  DEFAULT_POOL_SCHEDULER_SETTINGS.siblingTimeoutMilliseconds;

interface SentMessage {
  at: number;
  bytes: number;
  message: CounterDeltaMessage;
}

class RecordingSender extends MessageSender {
  readonly sent: SentMessage[] = [];
  readonly #clock: ManualClock;

  constructor(clock: ManualClock) {
    super();
    this.#clock = clock;
  }

  override send(_to: string, message: Message): void {
    this.sent.push({
      at: this.#clock.now(),
      bytes: encodeMessage(message).length + FRAME_OVERHEAD_BYTES,
      message: message as CounterDeltaMessage,
    });
  }

  override registerContact(): void {}
}

/** Creates the counter exchange of one pool with siblings in four zones. */
function createFixture() {
  const clock = new ManualClock();
  const sender = new RecordingSender(clock);
  const state = new PoolState({
    pool: { zone: "z1", service: SERVICE },
    term: { number: 1, holder: "z1-vm0" },
    leased: true,
    self: "z1-vm0",
    sender,
    clock,
    random: new RandomSource(3),
    logger: createSilentLogger(),
    settings: {
      ...DEFAULT_POOL_SCHEDULER_SETTINGS,
      counterPeriodMilliseconds: 200,
    },
    findContact: () => undefined,
    suspects: new SuspectRegistry(clock, DEFAULT_SUSPECT_SETTINGS),
  });
  const siblings = new Siblings();
  siblings.update(SIBLING_ZONES.map((zone) => ({
    pool: { zone, service: SERVICE },
    vm: `${zone}-vm0`,
  })));
  const exchange = new CounterExchange(state, siblings);
  const run = async (seconds: number, beforeTick = () => {}) => {
    const end = clock.now() + seconds * 1000;
    while (clock.now() < end) {
      beforeTick();
      exchange.runStep();
      exchange.sendOnBacklog();
      await clock.advance(TICK_MILLISECONDS);
    }
  };
  return { clock, sender, state, exchange, run };
}

function addCharges(state: PoolState, organisations: number): void {
  for (let index = 0; index < organisations; index++) {
    const name = `organisation-${String(index).padStart(5, "0")}`;
    state.queue.fair.charge(name, 100);
  }
}

function sumBytes(sent: readonly SentMessage[]): number {
  return sent.reduce((sum, { bytes }) => sum + bytes, 0);
}

function findLongestPause(sent: readonly SentMessage[]): number {
  const pauses = sent.slice(1).map(({ at }, index) => at - sent[index]!.at);
  return Math.max(...pauses);
}

function createDelta(
  options: Partial<CounterDeltaMessage>,
): CounterDeltaMessage {
  return {
    kind: MessageKind.CounterDelta,
    service: SERVICE,
    pool: { zone: "z2", service: SERVICE },
    term: { number: 1, holder: "z2-vm0" },
    sequence: 1,
    totals: [],
    virtualTime: 0,
    waiting: 0,
    slots: 8,
    ...options,
  };
}

describe("CounterExchange", () => {
  it("sends less than 4 KB per second with 240 active organisations", async () => {
    const { sender, state, run } = createFixture();
    await run(RUN_SECONDS, () => addCharges(state, 240));
    expect(sumBytes(sender.sent) / RUN_SECONDS).to.be.below(4096);
    expect(findLongestPause(sender.sent)).to.be.below(
      SIBLING_TIMEOUT_MILLISECONDS / 2,
    );
    const last = sender.sent.findLast(({ message }) =>
      message.totals.length > 0
    );
    expect(last!.message.totals).to.have.lengthOf(240);
    expect(last!.at).to.be.above((RUN_SECONDS - 10) * 1000);
  });

  it("keeps to the counter period with few organisations", async () => {
    const { sender, state, run } = createFixture();
    await run(RUN_SECONDS, () => addCharges(state, 2));
    const complete = sender.sent.filter(({ message }) =>
      message.totals.length === 2 && message.unsent === undefined
    );
    expect(complete.length / SIBLING_ZONES.length / RUN_SECONDS).to.be.above(3);
  });

  it("sends only infrequent heartbeats while nothing changes", async () => {
    const { sender, run } = createFixture();
    await run(RUN_SECONDS);
    const { sent } = sender;
    expect(sent.every(({ message }) => message.totals.length === 0)).to.equal(
      true,
    );
    expect(findLongestPause(sent)).to.be.below(
      SIBLING_TIMEOUT_MILLISECONDS / 2,
    );
    expect(sent.length / SIBLING_ZONES.length / RUN_SECONDS).to.be.below(0.7);
  });

  it("announces a backlog immediately even when the budget is used up", async () => {
    const { sender, state, run, clock } = createFixture();
    await run(1, () => addCharges(state, 240));
    const sentBefore = sender.sent.length;
    state.queue.add({
      request: "r1",
      ingress: "z1-vm0",
      organisation: "a",
      attemptsMade: 0,
      hintedCost: 0,
      waitLimitMilliseconds: 60_000,
      waitedMilliseconds: 0,
      fingerprint: "",
      prefix: "",
      avoid: [],
    }, { now: clock.now() });
    await run(0.1);
    const { message } = sender.sent[sentBefore]!;
    expect(message.waiting).to.equal(1);
    expect(message.totals).to.have.lengthOf(0);
    expect(message.unsent).to.equal(240);
    expect(message.lowest).to.equal(undefined);
  });

  it("caps debts of a partition whose totals follow a heartbeat", async () => {
    const { state, exchange, clock } = createFixture();
    const { debtCap } = state.options.settings.fairness;
    exchange.merge("z2-vm0", createDelta({ sequence: 1 }));
    await clock.advance(SIBLING_TIMEOUT_MILLISECONDS * 2);
    exchange.merge("z2-vm0", createDelta({ sequence: 2, unsent: 1 }));
    const totals = [{ organisation: "a", service: debtCap * 9 }];
    exchange.merge("z2-vm0", createDelta({ sequence: 3, totals }));
    expect(state.queue.fair.findCounter("a")).to.equal(debtCap);
    const laterTotals = [{ organisation: "b", service: debtCap * 9 }];
    exchange.merge("z2-vm0", createDelta({ sequence: 4, totals: laterTotals }));
    expect(state.queue.fair.findCounter("b")).to.equal(debtCap * 9);
  });

  it("ignores a virtual time that is ahead of the received totals", () => {
    const { state, exchange } = createFixture();
    const { fair } = state.queue;
    exchange.merge("z2-vm0", createDelta({ sequence: 1 }));
    const ahead = { sequence: 2, unsent: 1, virtualTime: 900 };
    exchange.merge("z2-vm0", createDelta(ahead));
    expect(fair.virtualTime).to.equal(0);
    const complete = { sequence: 3, virtualTime: 900 };
    exchange.merge("z2-vm0", createDelta(complete));
    expect(fair.virtualTime).to.equal(900);
  });
});

import {
  createLifetime,
  createSilentLogger,
  ManualClock,
} from "@rattanvane/base";
import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import { AcceptLimiter } from "./accept_limiter.ts";

const NEVER_ABORTED = createLifetime().signal;
/** What a request costs the process, connection included. */
const COST_MILLISECONDS = 1;
/** A caller gives up on its connection after this time. */
const ANSWER_BOUND_MILLISECONDS = 400;
/** Turns until a request is answered: connection, body, scheduler's reply. */
const TURNS_PER_REQUEST = 3;

interface Arrival {
  at: number;
  turns: number;
}

/** A process with one event loop that gets connections and answers requests. */
class SimulatedProcess {
  answered: number[] = [];
  dropped = 0;
  readonly #clock = new ManualClock();
  readonly #arrivalsPerMillisecond: number;
  #pending: number[] = [];
  #open: Arrival[] = [];
  #allowance = Infinity;
  #arrivedUntil = 0;
  #credit = 0;
  readonly limiter: AcceptLimiter | undefined;

  constructor(options: { arrivalsPerSecond: number; isLimited: boolean }) {
    this.#arrivalsPerMillisecond = options.arrivalsPerSecond / 1_000;
    this.limiter = options.isLimited
      ? new AcceptLimiter({
        clock: this.#clock,
        logger: createSilentLogger(),
        setAllowance: (connections) => this.#allowance = connections,
      })
      : undefined;
  }

  async run(milliseconds: number): Promise<void> {
    while (this.#clock.now() < milliseconds) {
      this.#arrive();
      this.#accept();
      const startedAt = this.#clock.now();
      const served = this.#open.length;
      const work = served * COST_MILLISECONDS / TURNS_PER_REQUEST;
      await this.#clock.advance(Math.max(1, work));
      this.#finishTurn();
      if (served > 0) {
        const endedAt = this.#clock.now();
        this.limiter?.recordTurn({ startedAt, endedAt }, NEVER_ABORTED);
      }
    }
  }

  #arrive(): void {
    const now = this.#clock.now();
    this.#credit += (now - this.#arrivedUntil) * this.#arrivalsPerMillisecond;
    this.#arrivedUntil = now;
    for (; this.#credit >= 1; this.#credit--) {
      this.#pending.push(now);
    }
  }

  #accept(): void {
    for (const at of this.#pending) {
      if (this.#allowance <= 0) {
        this.dropped++;
        this.limiter?.recordDropped();
        continue;
      }
      this.#allowance--;
      this.limiter?.recordAccepted();
      this.#open.push({ at, turns: 0 });
    }
    this.#pending = [];
  }

  #finishTurn(): void {
    for (const arrival of this.#open) {
      arrival.turns++;
      if (arrival.turns === TURNS_PER_REQUEST) {
        this.answered.push(this.#clock.now() - arrival.at);
      }
    }
    this.#open = this.#open.filter(({ turns }) => turns < TURNS_PER_REQUEST);
  }
}

function countTimely({ answered }: SimulatedProcess): number {
  return answered.filter((wait) => wait <= ANSWER_BOUND_MILLISECONDS).length;
}

/** Load: one VM gets twice the new connections that it can serve, for 10 s. */
describe("AcceptLimiter", () => {
  it("without it nearly every request of an overload is answered too late", async () => {
    const process = new SimulatedProcess({
      arrivalsPerSecond: 2_000,
      isLimited: false,
    });
    await process.run(10_000);
    expect(countTimely(process)).to.be.below(2_000);
  });

  it("answers what the process can serve in time and drops the rest", async () => {
    const process = new SimulatedProcess({
      arrivalsPerSecond: 2_000,
      isLimited: true,
    });
    await process.run(10_000);
    expect(countTimely(process)).to.be.at.least(0.6 * 10_000);
    expect(countTimely(process) / process.answered.length)
      .to.be.at.least(0.9);
    expect(process.limiter?.limit).to.be.below(Infinity);
  });

  it("drops nothing below the capacity, and nothing for a single long turn", async () => {
    const process = new SimulatedProcess({
      arrivalsPerSecond: 700,
      isLimited: true,
    });
    await process.run(2_000);
    process.limiter?.recordTurn(
      { startedAt: 2_001, endedAt: 2_701 },
      NEVER_ABORTED,
    );
    await process.run(4_000);
    expect(process.dropped).to.equal(0);
    expect(countTimely(process)).to.be.at.least(0.99 * 4 * 700);
  });

  describe("after an overload", () => {
    const lifetime = createLifetime();
    let clock = new ManualClock();
    let allowance = Infinity;

    beforeEach(() => {
      clock = new ManualClock();
      allowance = Infinity;
    });

    afterEach(() => lifetime.abort());

    it("accepts all connections again", async () => {
      const limiter = new AcceptLimiter({
        clock,
        logger: createSilentLogger(),
        setAllowance: (connections) => allowance = connections,
      });
      for (const startedAt of [0, 0, 300]) {
        expect(allowance).to.equal(Infinity);
        const endedAt = startedAt + 300;
        limiter.recordTurn({ startedAt, endedAt }, lifetime.signal);
      }
      expect(allowance).to.equal(4);
      await clock.advance(3_000);
      expect(allowance).to.equal(Infinity);
    });
  });
});

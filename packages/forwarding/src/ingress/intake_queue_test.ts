import { createLifetime } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { BlockedClock } from "../testing/blocked_clock.ts";
import { IntakeQueue } from "./intake_queue.ts";

const NEVER_ABORTED = createLifetime().signal;
const FLOOD = 200;
/** The time that beginning one request takes. */
const REQUEST_MILLISECONDS = 1;
const TURN_BUDGET_MILLISECONDS = 15;
/** So long that no others of the organisation are taken in, and too long. */
const LONG_QUEUE_MILLISECONDS = 150;
const TOO_LONG_MILLISECONDS = 300;

function createQueue(
  maxWaitingPerOrganisation = FLOOD,
  clock = new BlockedClock(),
) {
  const turns: number[] = [];
  const queue = new IntakeQueue({
    clock,
    maxWaitingPerOrganisation,
    recordTurn: (milliseconds) => turns.push(milliseconds),
  });
  const begun: string[] = [];
  const submit = async (
    name: string,
    organisation: string,
    signal = NEVER_ABORTED,
  ) => {
    if (await queue.wait(organisation, signal)) {
      begun.push(name);
      clock.block(REQUEST_MILLISECONDS);
    }
  };
  return { queue, begun, turns, submit };
}

/** Counts the turns of the event loop until the signal aborts. */
function countTurns(signal: AbortSignal): () => number {
  let turns = 0;
  const count = () => {
    turns++;
    if (!signal.aborted) {
      setImmediate(count);
    }
  };
  setImmediate(count);
  return () => turns;
}

/** Load: one organisation sends 200 requests at once to a VM. */
describe("IntakeQueue", () => {
  it("lets other organisations pass the requests of one that floods", async () => {
    const { begun, submit } = createQueue();
    const all: Promise<void>[] = [];
    for (let request = 0; request < FLOOD; request++) {
      all.push(submit(`greedy-${request}`, "greedy"));
    }
    for (const name of ["one", "two", "three"]) {
      all.push(submit(name, name));
    }
    await Promise.all(all);
    expect(begun).to.have.lengthOf(FLOOD + 3);
    expect(begun.slice(0, 7)).to.include.members(["one", "two", "three"]);
    const greedy = begun.filter((name) => name.startsWith("greedy"));
    expect(greedy).to.deep.equal(
      Array.from({ length: FLOOD }, (_, index) => `greedy-${index}`),
    );
  });

  it("begins requests for a limited time a turn, so that connections are accepted", async () => {
    const lifetime = createLifetime();
    const { begun, submit } = createQueue();
    const readTurns = countTurns(lifetime.signal);
    const all = Array.from(
      { length: FLOOD },
      (_, index) => submit(`${index}`, "greedy"),
    );
    await Promise.all(all);
    lifetime.abort();
    expect(begun).to.have.lengthOf(FLOOD);
    expect(readTurns()).to.be.at.least(
      FLOOD * REQUEST_MILLISECONDS / (TURN_BUDGET_MILLISECONDS + 1),
    );
  });

  it("refuses requests beyond the limit of their organisation at once", async () => {
    const { begun, submit } = createQueue(10);
    const all = Array.from(
      { length: 15 },
      (_, index) => submit(`${index}`, "greedy"),
    );
    all.push(submit("other", "other"));
    await Promise.all(all);
    expect(begun).to.have.lengthOf(11);
    expect(begun).to.include("other");
  });

  it("refuses requests while one of their organisation has waited for long", async () => {
    const clock = new BlockedClock();
    const { begun, submit } = createQueue(FLOOD, clock);
    const first = submit("first", "greedy");
    clock.block(LONG_QUEUE_MILLISECONDS);
    await Promise.all([
      submit("second", "greedy"),
      submit("other", "other"),
      first,
    ]);
    expect(begun).to.have.members(["first", "other"]);
    await submit("third", "greedy");
    expect(begun).to.include("third");
  });

  it("begins no request that has waited for too long", async () => {
    const clock = new BlockedClock();
    const { begun, submit } = createQueue(FLOOD, clock);
    const waiting = [submit("first", "one"), submit("second", "two")];
    clock.block(TOO_LONG_MILLISECONDS);
    await Promise.all(waiting);
    expect(begun).to.deep.equal([]);
  });

  it("accepts many connections before it begins requests, but not forever", async () => {
    const { queue, submit } = createQueue();
    const lifetime = createLifetime();
    let turns = 0;
    const accept = () => {
      turns++;
      queue.recordConnection();
      if (!lifetime.signal.aborted) {
        setImmediate(accept);
      }
    };
    await submit("earlier", "one");
    accept();
    await submit("first", "one");
    lifetime.abort();
    expect(turns).to.be.within(20, 100);
  });

  it("spends no turn on requests whose callers have left", async () => {
    const { begun, turns, submit } = createQueue();
    const left = createLifetime();
    const all = Array.from(
      { length: FLOOD },
      (_, index) => submit(`left-${index}`, "greedy", left.signal),
    );
    left.abort();
    all.push(submit("stays", "greedy"));
    await Promise.all(all);
    expect(begun).to.deep.equal(["stays"]);
    expect(turns.length).to.be.at.most(5);
  });

  it("waits for the next poll with a request that comes while others wait", async () => {
    const { begun, submit } = createQueue();
    const first = submit("first", "one");
    await new Promise((resolve) => setImmediate(resolve));
    const left = createLifetime();
    const second = submit("second", "two", left.signal);
    await first;
    left.abort();
    await second;
    expect(begun).to.deep.equal(["first"]);
  });
});

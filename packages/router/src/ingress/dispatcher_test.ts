import { MessageKind, RefusalReason } from "@rattanvane/protocol";
import { AttemptOutcome } from "@rattanvane/protocol";
import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import {
  createEntry,
  createGrant,
  createIngress,
  type IngressFixture,
  POOL,
  SCHEDULER,
} from "../testing/fixtures.ts";

const SWEEP_WAIT_MILLISECONDS = 500;
const PROGRESS_INTERVAL_MILLISECONDS = 2_000;

describe("Dispatcher", () => {
  let lifetime: AbortController;
  let ingress: IngressFixture;

  beforeEach(() => {
    lifetime = new AbortController();
    ingress = createIngress();
  });

  afterEach(() => lifetime.abort());

  it("queues a request and accepts the grant", async () => {
    const { dispatcher, sender } = ingress;
    const entry = createEntry(ingress);
    const answer = dispatcher.waitForGrant(entry, lifetime.signal);
    expect(sender.list(MessageKind.Enqueue)).to.have.length(1);
    dispatcher.handle(SCHEDULER, createGrant());
    expect((await answer).kind).to.equal(MessageKind.Grant);
    expect(entry.current?.attempt).to.equal("attempt-1");
  });

  it("declines a second grant, but not a repeated one", async () => {
    const { dispatcher, sender } = ingress;
    const entry = createEntry(ingress);
    const answer = dispatcher.waitForGrant(entry, lifetime.signal);
    dispatcher.handle(SCHEDULER, createGrant());
    await answer;
    dispatcher.handle(SCHEDULER, createGrant());
    dispatcher.handle(SCHEDULER, createGrant({ attempt: "attempt-2" }));
    const declined = sender.list(MessageKind.DeclineGrant);
    expect(declined.map((message) => message.attempt)).to.deep.equal([
      "attempt-2",
    ]);
  });

  it("declines a grant of a superseded term", () => {
    const { dispatcher, sender, directory } = ingress;
    const entry = createEntry(ingress);
    void dispatcher.waitForGrant(entry, lifetime.signal);
    directory.term = { number: 2, holder: "vm-a3" };
    dispatcher.handle(SCHEDULER, createGrant());
    expect(sender.list(MessageKind.DeclineGrant)).to.have.length(1);
    expect(entry.current).to.equal(undefined);
  });

  it("cancels the queue entry when the caller disconnects", async () => {
    const { dispatcher, sender } = ingress;
    const caller = new AbortController();
    const answer = dispatcher.waitForGrant(createEntry(ingress), caller.signal);
    caller.abort();
    expect((await answer).kind).to.equal(MessageKind.Refuse);
    expect(sender.list(MessageKind.CancelEntry)).to.have.length(1);
  });

  it("refuses a request at its deadline", async () => {
    const { dispatcher, clock } = ingress;
    const entry = createEntry(ingress);
    const answer = dispatcher.waitForGrant(entry, lifetime.signal);
    await clock.advance(entry.call.deadlineAt);
    const refusal = await answer;
    expect(refusal).to.include({
      kind: MessageKind.Refuse,
      reason: RefusalReason.WaitedTooLong,
    });
  });

  it("queues with the next scheduler if the first is unreachable", async () => {
    const { dispatcher, sender, directory, clock } = ingress;
    void dispatcher.run(lifetime.signal);
    void dispatcher.waitForGrant(createEntry(ingress), lifetime.signal);
    directory.reachable = false;
    directory.scheduler = "vm-a3";
    await clock.advance(SWEEP_WAIT_MILLISECONDS);
    const last = sender.sent.at(-1);
    expect(last?.vm).to.equal("vm-a3");
    expect(last?.message.kind).to.equal(MessageKind.Enqueue);
  });

  it("reports waiting and running requests to a new scheduler", async () => {
    const { dispatcher, sender } = ingress;
    const running = createEntry(ingress, { request: "request-1" });
    const granted = dispatcher.waitForGrant(running, lifetime.signal);
    dispatcher.handle(SCHEDULER, createGrant());
    await granted;
    const waiting = createEntry(ingress, { request: "request-2" });
    void dispatcher.waitForGrant(waiting, lifetime.signal);
    dispatcher.handle("vm-a3", {
      kind: MessageKind.RequestWork,
      pool: POOL,
      term: { number: 2, holder: "vm-a3" },
    });
    const report = sender.list(MessageKind.WorkReport)[0];
    expect(report?.running.map((one) => one.attempt)).to.deep.equal([
      "attempt-1",
    ]);
    expect(report?.waiting.map((one) => one.request)).to.deep.equal([
      "request-2",
    ]);
  });

  it("reports costs that exceed the estimate, in one message", async () => {
    const { dispatcher, sender, clock } = ingress;
    void dispatcher.run(lifetime.signal);
    const costs = [50, 150, 200];
    for (const [index, cost] of costs.entries()) {
      const request = `request-${index}`;
      const entry = createEntry(ingress, { request });
      const granted = dispatcher.waitForGrant(entry, lifetime.signal);
      dispatcher.handle(
        SCHEDULER,
        createGrant({ request, attempt: `attempt-${index}` }),
      );
      await granted;
      if (entry.current !== undefined) {
        entry.current.cost = cost;
      }
    }
    await clock.advance(PROGRESS_INTERVAL_MILLISECONDS);
    await clock.advance(PROGRESS_INTERVAL_MILLISECONDS);
    const reports = sender.list(MessageKind.Progress);
    expect(reports.map((report) => report.attempts)).to.deep.equal([[
      { attempt: "attempt-1", cost: 150, bootId: "" },
      { attempt: "attempt-2", cost: 200, bootId: "" },
    ]]);
  });

  it("accepts a grant for an entry moved to another zone", async () => {
    const { dispatcher, sender } = ingress;
    const entry = createEntry(ingress);
    const answer = dispatcher.waitForGrant(entry, lifetime.signal);
    const elsewhere = { zone: "zone-b", service: POOL.service };
    dispatcher.handle(SCHEDULER, {
      kind: MessageKind.EntryMoved,
      request: entry.call.request,
      from: POOL,
      to: elsewhere,
      scheduler: "vm-b1",
    });
    dispatcher.handle("vm-b1", { ...createGrant(), pool: elsewhere });
    await answer;
    expect(sender.list(MessageKind.CancelEntry)).to.have.length(0);
    dispatcher.finish(entry, {
      outcome: AttemptOutcome.Completed,
      cost: 5,
      firstByteMilliseconds: 1,
      durationMilliseconds: 2,
      bootId: "",
    });
    expect(sender.list(MessageKind.Finish)[0]?.pool).to.deep.equal(elsewhere);
  });

  it("cancels the queue entry when another pool grants first", async () => {
    const { dispatcher, sender } = ingress;
    const entry = createEntry(ingress);
    const answer = dispatcher.waitForGrant(entry, lifetime.signal);
    const elsewhere = { zone: "zone-b", service: POOL.service };
    dispatcher.handle("vm-b1", { ...createGrant(), pool: elsewhere });
    await answer;
    const cancelled = sender.list(MessageKind.CancelEntry);
    expect(cancelled.map((message) => message.pool)).to.deep.equal([POOL]);
  });
});

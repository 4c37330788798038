import { createSilentLogger, ManualClock } from "@rattanvane/base";
import { DEFAULT_SUSPECT_SETTINGS, SuspectRegistry } from "@rattanvane/limits";
import {
  type ForwardingMessage,
  type Message,
  MessageKind,
  MessageSender,
  type VmId,
} from "@rattanvane/protocol";
import { expect } from "chai";
import { describe, it } from "mocha";
import { TableReplica } from "../beliefs/table_replica.ts";
import { ShareMeter } from "../scheduling/share_meter.ts";
import { MemoryFeed } from "../testing/memory_feed.ts";
import { PeerExchange } from "./peer_exchange.ts";

interface Sent {
  to: VmId;
  message: Message;
}

class RecordingSender extends MessageSender {
  readonly sent: Sent[] = [];

  override send(to: VmId, message: Message): void {
    this.sent.push({ to, message });
  }

  override learnContact(): void {
    // The tests name their peers themselves.
  }
}

function createExchange() {
  const clock = new ManualClock();
  const sender = new RecordingSender();
  const createFollower = (table: string) =>
    new TableReplica({
      table,
      feed: new MemoryFeed(),
      clock,
      logger: createSilentLogger(),
      pollTimeoutMilliseconds: 100,
    });
  const configuration = createFollower("operator");
  const suspects = new SuspectRegistry(clock, DEFAULT_SUSPECT_SETTINGS);
  const exchange = new PeerExchange({
    sender,
    clock,
    logger: createSilentLogger(),
    suspects,
    shares: new ShareMeter({ clock, periodMilliseconds: 4_000 }),
    configuration,
    endpoints: createFollower("endpoints"),
    listPeers: () => ["vm-2"],
    listSchedulers: () => [],
  });
  const ending = new AbortController();
  void exchange.run(ending.signal);
  return { clock, sender, configuration, suspects, exchange, ending };
}

function buildState(
  echo: number,
  changes: Partial<ForwardingMessage> = {},
): ForwardingMessage {
  return {
    kind: MessageKind.ForwardingState,
    sequence: 1,
    echo,
    endpoints: [],
    organisations: [],
    suspects: [],
    ...changes,
  } as ForwardingMessage;
}

function findLastSequence({ sent }: RecordingSender): number {
  const states = sent.map(({ message }) => message)
    .filter((message) => message.kind === MessageKind.ForwardingState);
  return states.at(-1)?.sequence ?? 0;
}

describe("PeerExchange", () => {
  it("counts a peer's proof from when this VM's own message was sent", async () => {
    const world = createExchange();
    world.configuration.mergeCopy({ version: 5, rows: [] });
    await world.clock.advance(1);
    const echo = findLastSequence(world.sender);
    await world.clock.advance(400);
    const { digest } = world.configuration;
    const age = { version: 5, digest, ageMilliseconds: 30 };
    world.exchange.handle("vm-2", buildState(echo, { configuration: age }));
    expect(world.configuration.freshness.computeAge()).to.be.within(430, 432);
    world.ending.abort();
  });

  it("takes no proof from a statement that answers nothing of its own", async () => {
    const world = createExchange();
    world.configuration.mergeCopy({ version: 5, rows: [] });
    await world.clock.advance(1);
    const { digest } = world.configuration;
    const age = { version: 5, digest, ageMilliseconds: 0 };
    world.exchange.handle("vm-2", buildState(0, { configuration: age }));
    world.exchange.handle("vm-2", buildState(999, { configuration: age }));
    expect(world.configuration.freshness.computeAge()).to.equal(Infinity);
    world.ending.abort();
  });

  it("asks a peer for a newer table only while it has none", async () => {
    const world = createExchange();
    await world.clock.advance(1);
    const age = { version: 9, digest: "other", ageMilliseconds: 0 };
    world.exchange.handle("vm-2", buildState(1, { configuration: age }));
    const kinds = world.sender.sent.map(({ message }) => message.kind);
    expect(kinds).to.include(MessageKind.RequestTable);
    world.exchange.handle("vm-2", {
      kind: MessageKind.TableCopy,
      table: "operator",
      version: 9,
      rows: [{ key: "a", version: 3, value: new Uint8Array([1]) }],
    });
    expect(world.configuration.version).to.equal(9);
    expect(world.configuration.listRows()).to.have.lengthOf(1);
    world.ending.abort();
  });

  it("gives its copy to a peer that asks, and none before it has one", () => {
    const world = createExchange();
    const ask = () =>
      world.exchange.handle("vm-3", {
        kind: MessageKind.RequestTable,
        table: "operator",
      });
    ask();
    expect(world.sender.sent.filter(({ to }) => to === "vm-3"))
      .to.have.lengthOf(0);
    world.configuration.mergeCopy({ version: 4, rows: [] });
    ask();
    expect(world.sender.sent.at(-1)?.message)
      .to.deep.include({ kind: MessageKind.TableCopy, version: 4 });
    world.ending.abort();
  });

  it("spreads which requests were running when endpoints crashed", () => {
    const world = createExchange();
    const suspects = [{
      fingerprint: "f",
      crashedAttempts: ["a", "b"],
      ageMilliseconds: 10,
    }];
    world.exchange.handle("vm-2", buildState(0, { suspects }));
    expect(world.suspects.isQuarantined("f")).to.equal(true);
    world.ending.abort();
  });
});

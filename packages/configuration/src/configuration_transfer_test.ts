import {
  createSilentLogger,
  ManualClock,
  RandomSource,
} from "@rattanvane/base";
import {
  type ChangesMessage,
  type Message,
  MessageKind,
  MessageSender,
  type RequestChangesMessage,
  type VmContact,
} from "@rattanvane/protocol";
import { expect } from "chai";
import { afterEach, describe, it } from "mocha";
import { encodeChange } from "./change_codec.ts";
import { ChangeServer } from "./change_server.ts";
import { ConfigurationErrorKind } from "./configuration_error.ts";
import { ConfigurationPeer } from "./configuration_peer.ts";
import { ConfigurationStore } from "./configuration_store.ts";
import {
  createEncodedWeight,
  createLargeFleet,
  createSmallFleet,
} from "./testing/fixtures.ts";

const LARGEST_MESSAGE_BYTES = 256 * 1_024;
const ORGANISATIONS = 12_000;
const SILENT_TURNS = 20;
const MOST_ANSWERS = 50;

let ending = new AbortController();

class CollectingSender extends MessageSender {
  readonly sent: Message[] = [];

  override send(_vm: string, message: Message): void {
    this.sent.push(message);
  }

  override registerContact(_contact: VmContact): void {}
}

/** A peer that has nothing yet, and what it sends. */
function createAsker() {
  const store = new ConfigurationStore();
  const sender = new CollectingSender();
  const clock = new ManualClock();
  const peer = new ConfigurationPeer({
    store,
    sender,
    clock,
    random: new RandomSource(1),
    logger: createSilentLogger(),
    listPeers: () => [],
  });
  const ended = peer.run(ending.signal);
  return { store, sender, clock, peer, ended };
}

function createHolder(organisations: number): ConfigurationStore {
  const store = new ConfigurationStore();
  store.receiveSnapshot(
    organisations === 0 ? createSmallFleet() : createLargeFleet(organisations),
  );
  return store;
}

type AnswerRequest = (
  request: RequestChangesMessage,
) => Promise<ChangesMessage>;

interface TransferOptions {
  answer: AnswerRequest;
  /** The version that ends the wait; without it, silence ends it. */
  target?: number;
}

/** Answers what the asker sends until it has the target or falls silent. */
async function settleTransfer(
  asker: ReturnType<typeof createAsker>,
  options: TransferOptions,
): Promise<ChangesMessage[]> {
  const answers: ChangesMessage[] = [];
  let silentTurns = 0;
  let handled = 0;
  for (;;) {
    const isDone = options.target === undefined
      ? silentTurns > SILENT_TURNS
      : asker.store.current.version === options.target;
    if (isDone) {
      return answers;
    }
    const request = asker.sender.sent[handled];
    if (request?.kind !== MessageKind.RequestChanges) {
      silentTurns++;
      await new Promise<void>((resolve) => setImmediate(resolve));
      continue;
    }
    handled++;
    silentTurns = 0;
    const message = await options.answer(request);
    answers.push(message);
    if (answers.length > MOST_ANSWERS) {
      throw new Error("the asker goes on asking");
    }
    asker.peer.handle("holder", message);
  }
}

describe("transfer of the configuration", () => {
  afterEach(() => {
    ending.abort();
    ending = new AbortController();
  });

  it("sends 12,000 organisations in messages of under 256 KiB", async () => {
    const holder = createHolder(ORGANISATIONS);
    const server = new ChangeServer(holder);
    const asker = createAsker();
    asker.peer.learnVersion("holder", 1);
    const answers = await settleTransfer(asker, {
      answer: (request) => server.buildAnswer(request),
      target: 1,
    });
    expect(asker.store.current).to.deep.equal(holder.current);
    expect(answers.length).to.be.above(1);
    for (const { snapshot } of answers) {
      expect(snapshot!.content.length).to.be.below(LARGEST_MESSAGE_BYTES);
    }
  });

  it("sends a change alone to a peer that has the version before", async () => {
    const holder = createHolder(ORGANISATIONS);
    const asker = createAsker();
    asker.store.receiveSnapshot(holder.current);
    const change = createEncodedWeight("organisation-7", 2);
    holder.receive([change])._unsafeUnwrap();
    const answer = await new ChangeServer(holder).buildAnswer({
      kind: MessageKind.RequestChanges,
      request: 1,
      afterVersion: 1,
    });
    expect(answer.snapshot).to.equal(undefined);
    expect(answer.changes).to.deep.equal([change]);
  });

  it("splits many changes and lets the asker go on", async () => {
    const holder = createHolder(0);
    const asker = createAsker();
    asker.store.receiveSnapshot(holder.current);
    const padding = "x".repeat(60 * 1_024);
    const changes = Array.from({ length: 10 }, (_, index) => {
      const encoded = createEncodedWeight("bakery", index + 2);
      const change = JSON.parse(encoded.body);
      return encodeChange({ ...change, author: padding });
    });
    holder.receive(changes)._unsafeUnwrap();
    const server = new ChangeServer(holder);
    asker.peer.learnVersion("holder", 11);
    const answers = await settleTransfer(asker, {
      answer: (request) => server.buildAnswer(request),
      target: 11,
    });
    expect(answers).to.have.length(4);
  });

  it("starts over when the holder's snapshot changes half-way", async () => {
    const first = new ChangeServer(createHolder(ORGANISATIONS));
    const newer = createHolder(ORGANISATIONS);
    newer.receiveSnapshot({ ...newer.current, version: 5 });
    const second = new ChangeServer(newer);
    const asker = createAsker();
    asker.peer.learnVersion("holder", 1);
    let asked = 0;
    await settleTransfer(asker, {
      answer: (request) => (asked++ < 2 ? first : second).buildAnswer(request),
      target: 5,
    });
    expect(asker.store.current).to.deep.equal(newer.current);
  });

  it("takes nothing from a snapshot with a part that does not follow", async () => {
    const server = new ChangeServer(createHolder(ORGANISATIONS));
    const asker = createAsker();
    asker.peer.learnVersion("holder", 1);
    const answer = async (request: RequestChangesMessage) => {
      const message = await server.buildAnswer(request);
      const { snapshot } = message;
      if (snapshot === undefined || snapshot.offset === 0) {
        return message;
      }
      return { ...message, snapshot: { ...snapshot, offset: 1 } };
    };
    await settleTransfer(asker, { answer });
    expect(asker.store.current.version).to.equal(0);
  });

  it("passes over an answer to an earlier request", async () => {
    const holder = createHolder(0);
    const asker = createAsker();
    asker.store.receiveSnapshot(holder.current);
    holder.receive([createEncodedWeight("bakery", 2)])._unsafeUnwrap();
    const server = new ChangeServer(holder);
    asker.peer.learnVersion("holder", 2);
    const answer = async (request: RequestChangesMessage) => ({
      ...await server.buildAnswer(request),
      request: request.request - 1,
    });
    const answers = await settleTransfer(asker, { answer });
    expect(answers).to.have.length(1);
    expect(asker.store.current.version).to.equal(1);
  });
});

describe("ConfigurationPeer", () => {
  const states = [
    { title: "while it waits for news", start: () => {} },
    {
      title: "while it waits for an answer",
      start: ({ peer }: ReturnType<typeof createAsker>) =>
        peer.learnVersion("holder", 1),
    },
  ];
  for (const { title, start } of states) {
    it(`ends when it is told to ${title}`, async () => {
      const asker = createAsker();
      start(asker);
      await asker.clock.advance(0);
      ending.abort();
      await asker.ended;
      ending = new AbortController();
    });
  }
});

describe("ConfigurationStore", () => {
  it("stays at the version before a change that it cannot read", () => {
    const store = createHolder(0);
    const good = createEncodedWeight("bakery", 2);
    const bad = createEncodedWeight("bakery", 3);
    const result = store.receive([
      good,
      { ...bad, body: bad.body.replace("putOrganisation", "putRegion") },
      createEncodedWeight("bakery", 4),
    ]);
    expect(result._unsafeUnwrapErr().kind).to.equal(
      ConfigurationErrorKind.Unreadable,
    );
    expect(store.current.version).to.equal(2);
  });

  it("applies nothing behind a gap", () => {
    const store = createHolder(0);
    store.receive([createEncodedWeight("bakery", 3)])._unsafeUnwrap();
    expect(store.current.version).to.equal(1);
  });

  it("tells once of changes that come together", () => {
    const store = createHolder(0);
    const told: number[] = [];
    store.changed.listen(({ version }) => {
      told.push(version);
    }, ending.signal);
    const changes = [2, 3, 4].map((version) =>
      createEncodedWeight("bakery", version)
    );
    store.receive(changes)._unsafeUnwrap();
    expect(told).to.deep.equal([4]);
    expect(store.current.organisations.get("bakery")?.weight).to.equal(4);
  });
});

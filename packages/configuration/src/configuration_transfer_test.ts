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

const MAXIMUM_MESSAGE_BYTES = 256 * 1_024;
const ORGANISATIONS = 12_000;
const IDLE_TURNS = 20;
const MAXIMUM_ANSWERS = 50;

let ending = new AbortController();

class CollectingSender extends MessageSender {
  readonly sent: Message[] = [];

  override send(_vm: string, message: Message): void {
    this.sent.push(message);
  }

  override registerContact(_contact: VmContact): void {}
}

/** Creates a peer with an empty store and records the messages it sends. */
function createClient() {
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
  /** The version to wait for; by default, waits until no requests follow. */
  target?: number;
}

/** Answers the client until it has the target or sends no more requests. */
async function settleTransfer(
  client: ReturnType<typeof createClient>,
  options: TransferOptions,
): Promise<ChangesMessage[]> {
  const answers: ChangesMessage[] = [];
  let idleTurns = 0;
  let handled = 0;
  for (;;) {
    const isDone = options.target === undefined
      ? idleTurns > IDLE_TURNS
      : client.store.current.version === options.target;
    if (isDone) {
      return answers;
    }
    const request = client.sender.sent[handled];
    if (request?.kind !== MessageKind.RequestChanges) {
      idleTurns++;
      await new Promise<void>((resolve) => setImmediate(resolve));
      continue;
    }
    handled++;
    idleTurns = 0;
    const message = await options.answer(request);
    answers.push(message);
    if (answers.length > MAXIMUM_ANSWERS) {
      throw new Error("the client does not stop sending requests");
    }
    client.peer.handle("holder", message);
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
    const client = createClient();
    client.peer.receiveVersion("holder", 1);
    const answers = await settleTransfer(client, {
      answer: (request) => server.buildAnswer(request),
      target: 1,
    });
    expect(client.store.current).to.deep.equal(holder.current);
    expect(answers.length).to.be.above(1);
    for (const { snapshot } of answers) {
      expect(snapshot!.content.length).to.be.below(MAXIMUM_MESSAGE_BYTES);
    }
  });

  it("sends only the change to a peer that has the version before", async () => {
    const holder = createHolder(ORGANISATIONS);
    const client = createClient();
    client.store.receiveSnapshot(holder.current);
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

  it("splits many changes into messages that the client requests one by one", async () => {
    const holder = createHolder(0);
    const client = createClient();
    client.store.receiveSnapshot(holder.current);
    const padding = "x".repeat(60 * 1_024);
    const changes = Array.from({ length: 10 }, (_, index) => {
      const encoded = createEncodedWeight("bakery", index + 2);
      const change = JSON.parse(encoded.body);
      return encodeChange({ ...change, author: padding });
    });
    holder.receive(changes)._unsafeUnwrap();
    const server = new ChangeServer(holder);
    client.peer.receiveVersion("holder", 11);
    const answers = await settleTransfer(client, {
      answer: (request) => server.buildAnswer(request),
      target: 11,
    });
    expect(answers).to.have.length(4);
  });

  it("restarts the transfer when the holder's snapshot changes half-way", async () => {
    const first = new ChangeServer(createHolder(ORGANISATIONS));
    const newer = createHolder(ORGANISATIONS);
    newer.receiveSnapshot({ ...newer.current, version: 5 });
    const second = new ChangeServer(newer);
    const client = createClient();
    client.peer.receiveVersion("holder", 1);
    let requestCount = 0;
    await settleTransfer(client, {
      answer: (request) =>
        (requestCount++ < 2 ? first : second).buildAnswer(request),
      target: 5,
    });
    expect(client.store.current).to.deep.equal(newer.current);
  });

  it("discards a snapshot with a part that is out of sequence", async () => {
    const server = new ChangeServer(createHolder(ORGANISATIONS));
    const client = createClient();
    client.peer.receiveVersion("holder", 1);
    const answer = async (request: RequestChangesMessage) => {
      const message = await server.buildAnswer(request);
      const { snapshot } = message;
      if (snapshot === undefined || snapshot.offset === 0) {
        return message;
      }
      return { ...message, snapshot: { ...snapshot, offset: 1 } };
    };
    await settleTransfer(client, { answer });
    expect(client.store.current.version).to.equal(0);
  });

  it("ignores an answer to an earlier request", async () => {
    const holder = createHolder(0);
    const client = createClient();
    client.store.receiveSnapshot(holder.current);
    holder.receive([createEncodedWeight("bakery", 2)])._unsafeUnwrap();
    const server = new ChangeServer(holder);
    client.peer.receiveVersion("holder", 2);
    const answer = async (request: RequestChangesMessage) => ({
      ...await server.buildAnswer(request),
      request: request.request - 1,
    });
    const answers = await settleTransfer(client, { answer });
    expect(answers).to.have.length(1);
    expect(client.store.current.version).to.equal(1);
  });
});

describe("ConfigurationPeer", () => {
  const states = [
    { title: "while it waits for a new version", start: () => {} },
    {
      title: "while it waits for an answer",
      start: ({ peer }: ReturnType<typeof createClient>) =>
        peer.receiveVersion("holder", 1),
    },
  ];
  for (const { title, start } of states) {
    it(`stops when its signal aborts ${title}`, async () => {
      const client = createClient();
      start(client);
      await client.clock.advance(0);
      ending.abort();
      await client.ended;
      ending = new AbortController();
    });
  }
});

describe("ConfigurationStore", () => {
  it("stays at the version before a change that it cannot decode", () => {
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

  it("applies no change after a gap", () => {
    const store = createHolder(0);
    store.receive([createEncodedWeight("bakery", 3)])._unsafeUnwrap();
    expect(store.current.version).to.equal(1);
  });

  it("emits one event for changes that are received together", () => {
    const store = createHolder(0);
    const emitted: number[] = [];
    store.changed.listen(({ version }) => {
      emitted.push(version);
    }, ending.signal);
    const changes = [2, 3, 4].map((version) =>
      createEncodedWeight("bakery", version)
    );
    store.receive(changes)._unsafeUnwrap();
    expect(emitted).to.deep.equal([4]);
    expect(store.current.organisations.get("bakery")?.weight).to.equal(4);
  });
});

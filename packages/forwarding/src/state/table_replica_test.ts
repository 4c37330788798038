import {
  createSilentLogger,
  RandomSource,
  SystemClock,
} from "@rattanvane/base";
import type { FeedRow } from "@rattanvane/platform";
import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import { MemoryFeed } from "../testing/memory_feed.ts";
import { TableReplica, type TableReplicaOptions } from "./table_replica.ts";

const TABLE = "op";
const POLL_MILLISECONDS = 2;

let lifetime = new AbortController();

function encode(text: string): Uint8Array {
  return new TextEncoder().encode(text);
}

function decode(value: Uint8Array): string {
  return new TextDecoder().decode(value);
}

function startReplica(
  feed: MemoryFeed,
  changes: Partial<TableReplicaOptions> = {},
) {
  const replica = new TableReplica({
    table: TABLE,
    feed,
    clock: new SystemClock(),
    random: new RandomSource(1),
    logger: createSilentLogger(),
    waitMilliseconds: 30,
    isPolling: () => true,
    maxUnpolledAgeMilliseconds: Infinity,
    ...changes,
  });
  const observed = new Map<string, string | undefined>();
  replica.changes.listen(({ key, value }) => {
    observed.set(key, value === undefined ? undefined : decode(value));
  }, lifetime.signal);
  void replica.run(lifetime.signal);
  return { replica, observed };
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => setTimeout(resolve, POLL_MILLISECONDS));
  }
}

describe("TableReplica", () => {
  beforeEach(() => {
    lifetime = new AbortController();
  });

  afterEach(() => lifetime.abort());

  it("emits existing, added, changed and removed rows", async () => {
    const feed = new MemoryFeed();
    feed.put(TABLE, "a", "1");
    const { observed } = startReplica(feed);
    await waitUntil(() => observed.get("a") === "1");
    feed.put(TABLE, "a", "2");
    feed.put(TABLE, "b", "3");
    await waitUntil(() =>
      observed.get("a") === "2" && observed.get("b") === "3"
    );
    feed.remove(TABLE, "a");
    await waitUntil(() => observed.has("a") && observed.get("a") === undefined);
  });

  it("detects changes that the truncated change history no longer holds", async () => {
    const feed = new MemoryFeed();
    feed.put(TABLE, "a", "1");
    feed.put(TABLE, "b", "1");
    const { observed } = startReplica(feed);
    await waitUntil(() => observed.size === 2);
    feed.isDown = true;
    feed.remove(TABLE, "a");
    feed.put(TABLE, "b", "2");
    feed.truncateHistory();
    feed.isDown = false;
    await waitUntil(() => observed.get("b") === "2");
    await waitUntil(() => observed.get("a") === undefined);
  });

  it("keeps its rows while the store is unavailable and reports their age", async () => {
    const feed = new MemoryFeed();
    feed.put(TABLE, "a", "1");
    const { replica, observed } = startReplica(feed);
    await waitUntil(() => observed.size === 1);
    feed.isDown = true;
    await waitUntil(() => !replica.connected);
    await waitUntil(() => replica.freshness.computeAge() > 60);
    expect(replica.listRows()).to.have.lengthOf(1);
    feed.isDown = false;
    await waitUntil(() => replica.connected);
    await waitUntil(() => replica.freshness.computeAge() < 60);
  });

  // Removals are held back after an outage, and so came later than the bound.
  it("takes a connection to the store that falls silent for no outage", async () => {
    const feed = new MemoryFeed();
    feed.put(TABLE, "a", "1");
    const { replica, observed } = startReplica(feed);
    const changes: boolean[] = [];
    replica.connectivityChanges.listen(
      ({ connected }) => changes.push(connected),
      lifetime.signal,
    );
    await waitUntil(() => observed.size === 1);
    feed.isSilent = true;
    feed.remove(TABLE, "a");
    await waitUntil(() => observed.get("a") === undefined);
    feed.isSilent = false;
    feed.put(TABLE, "a", "2");
    await waitUntil(() => observed.get("a") === "2");
    expect(changes).to.deep.equal([]);
  });

  // Registrations lapse in an outage, so that removals must be held back.
  it("takes a store for away that answers on no connection, even if it does later", async () => {
    const feed = new MemoryFeed();
    feed.put(TABLE, "a", "1");
    const { replica, observed } = startReplica(feed);
    const changes: boolean[] = [];
    replica.connectivityChanges.listen(
      ({ connected }) => changes.push(connected),
      lifetime.signal,
    );
    await waitUntil(() => observed.size === 1);
    feed.isHanging = true;
    feed.remove(TABLE, "a");
    await waitUntil(() => !replica.connected);
    expect(observed.get("a")).to.equal("1");
    feed.isHanging = false;
    await waitUntil(() => observed.get("a") === undefined);
    expect(changes).to.deep.equal([false, true]);
  });

  it("accepts a peer's newer copy and rejects an older one", async () => {
    const feed = new MemoryFeed();
    feed.put(TABLE, "a", "1");
    const { replica, observed } = startReplica(feed);
    await waitUntil(() => observed.size === 1);
    feed.isDown = true;
    await waitUntil(() => !replica.connected);
    replica.mergeCopy({ era: 0, version: 0, rows: [] });
    expect(observed.get("a")).to.equal("1");
    replica.mergeCopy({
      era: 0,
      version: 9,
      rows: [{ key: "c", version: 9, value: encode("4") }],
    });
    expect(observed.get("a")).to.equal(undefined);
    expect(observed.get("c")).to.equal("4");
  });

  it("takes the rows of a store that has come back from an older copy", async () => {
    const feed = new MemoryFeed();
    feed.put(TABLE, "kept", "1");
    const copy = feed.copy();
    const { observed } = startReplica(feed);
    for (let write = 0; write < 10; write++) {
      feed.put(TABLE, "lost", `${write}`);
    }
    await waitUntil(() => observed.get("lost") === "9");
    feed.restore(copy);
    await waitUntil(() => observed.get("lost") === undefined);
    feed.put(TABLE, "kept", "2");
    await waitUntil(() => observed.get("kept") === "2");
  });

  it("misses no row when the restored store has given the same versions out again", async () => {
    const feed = new MemoryFeed();
    feed.put(TABLE, "kept", "1");
    const copy = feed.copy();
    const { observed } = startReplica(feed);
    for (let write = 0; write < 3; write++) {
      feed.put(TABLE, "lost", `${write}`);
    }
    await waitUntil(() => observed.get("lost") === "2");
    feed.restore(copy);
    for (let write = 0; write < 9; write++) {
      feed.put(TABLE, `new-${write}`, "1");
    }
    await waitUntil(() => observed.get("new-0") === "1");
    await waitUntil(() => observed.get("lost") === undefined);
  });

  it("takes a restored row with the same version and another value", async () => {
    const feed = new MemoryFeed();
    const copy = feed.copy();
    feed.put(TABLE, "a", "lost");
    const { observed } = startReplica(feed);
    await waitUntil(() => observed.get("a") === "lost");
    feed.restore(copy);
    feed.put(TABLE, "a", "new");
    await waitUntil(() => observed.get("a") === "new");
  });

  it("does not bring a removed row back with a copy, but when it is written again", async () => {
    const feed = new MemoryFeed();
    feed.put(TABLE, "a", "1");
    feed.put(TABLE, "b", "1");
    const copy = feed.copy();
    const { observed, replica } = startReplica(feed);
    await waitUntil(() => observed.get("a") === "1");
    feed.remove(TABLE, "a");
    await waitUntil(() => observed.get("a") === undefined);
    feed.restore(copy);
    feed.put(TABLE, "b", "2");
    await waitUntil(() => observed.get("b") === "2");
    expect(replica.era).to.equal(1);
    expect(observed.get("a")).to.equal(undefined);
    feed.put(TABLE, "a", "1");
    await waitUntil(() => observed.get("a") === "1");
  });

  it("keeps a later value beside a restored one, and takes it from another VM", async () => {
    const feed = new MemoryFeed();
    const isLater = (row: FeedRow, other: FeedRow) =>
      decode(row.value) > decode(other.value);
    feed.put(TABLE, "a", "1");
    const copy = feed.copy();
    const witness = startReplica(feed, { isLater });
    feed.put(TABLE, "a", "3");
    await waitUntil(() => witness.observed.get("a") === "3");
    feed.restore(copy);
    await waitUntil(() => witness.replica.era === 1);
    const late = startReplica(feed, { isLater });
    await waitUntil(() => late.observed.get("a") === "1");
    expect(witness.observed.get("a")).to.equal("3");
    expect(late.replica.digest).to.not.equal(witness.replica.digest);
    const { era, version } = witness.replica;
    late.replica.mergeCopy({ era, version, rows: witness.replica.listRows() });
    expect(late.observed.get("a")).to.equal("3");
    feed.put(TABLE, "a", "4");
    await waitUntil(() => late.observed.get("a") === "4");
    await waitUntil(() => witness.observed.get("a") === "4");
  });

  it("hears of a new era from another VM while its own way to the store is cut", async () => {
    const feed = new MemoryFeed();
    feed.put(TABLE, "a", "1");
    const { observed, replica } = startReplica(feed);
    await waitUntil(() => observed.get("a") === "1");
    feed.isDown = true;
    await waitUntil(() => !replica.connected);
    const row = { key: "a", version: 1, value: encode("2") };
    replica.mergeCopy({ era: 1, version: 1, rows: [row] });
    expect(observed.get("a")).to.equal("2");
    const former = { key: "a", version: 9, value: encode("3") };
    replica.mergeCopy({ era: 0, version: 9, rows: [former] });
    expect(observed.get("a")).to.equal("2");
  });

  it("keeps waiting when another VM confirms that its rows are complete", async () => {
    const feed = new MemoryFeed();
    feed.put(TABLE, "a", "1");
    const { replica, observed } = startReplica(feed);
    await waitUntil(() => observed.get("a") === "1");
    await waitUntil(() => feed.calls >= 3);
    const { calls } = feed;
    const startedAt = performance.now();
    while (performance.now() - startedAt < 120) {
      replica.confirmPosition({ era: 0, version: replica.version + 1 });
      await new Promise((resolve) => setTimeout(resolve, POLL_MILLISECONDS));
    }
    // Each long poll lasts 18 to 30 ms.
    expect(feed.calls - calls).to.be.at.most(8);
  });
});

import {
  createSilentLogger,
  RandomSource,
  SystemClock,
} from "@rattanvane/base";
import { expect } from "chai";
import { afterEach, describe, it } from "mocha";
import { MemoryFeed } from "../testing/memory_feed.ts";
import { TableReplica } from "./table_replica.ts";

const TABLE = "op";
const POLL_MILLISECONDS = 2;

let lifetime = new AbortController();

function startReplica(feed: MemoryFeed) {
  lifetime = new AbortController();
  const replica = new TableReplica({
    table: TABLE,
    feed,
    clock: new SystemClock(),
    random: new RandomSource(1),
    logger: createSilentLogger(),
    waitMilliseconds: 30,
    isPolling: () => true,
    maxUnpolledAgeMilliseconds: Infinity,
  });
  const observed = new Map<string, string | undefined>();
  replica.changes.listen(({ key, value }) => {
    observed.set(
      key,
      value === undefined ? undefined : new TextDecoder().decode(value),
    );
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
    const encode = (text: string) => new TextEncoder().encode(text);
    replica.mergeCopy({ version: 0, rows: [] });
    expect(observed.get("a")).to.equal("1");
    replica.mergeCopy({
      version: 9,
      rows: [{ key: "c", version: 9, value: encode("4") }],
    });
    expect(observed.get("a")).to.equal(undefined);
    expect(observed.get("c")).to.equal("4");
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
      replica.confirmVersion(replica.version + 1);
      await new Promise((resolve) => setTimeout(resolve, POLL_MILLISECONDS));
    }
    // Each long poll lasts 18 to 30 ms.
    expect(feed.calls - calls).to.be.at.most(8);
  });
});

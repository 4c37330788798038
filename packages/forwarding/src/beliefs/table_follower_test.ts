import { createSilentLogger, SystemClock } from "@rattanvane/base";
import { expect } from "chai";
import { afterEach, describe, it } from "mocha";
import { MemoryFeed } from "../testing/memory_feed.ts";
import { TableFollower } from "./table_follower.ts";

const TABLE = "op";
const POLL_MILLISECONDS = 2;

let lifetime = new AbortController();

function startFollower(feed: MemoryFeed) {
  lifetime = new AbortController();
  const follower = new TableFollower({
    table: TABLE,
    feed,
    clock: new SystemClock(),
    logger: createSilentLogger(),
    waitMilliseconds: 30,
  });
  const seen = new Map<string, string | undefined>();
  follower.changes.listen(({ key, value }) => {
    seen.set(
      key,
      value === undefined ? undefined : new TextDecoder().decode(value),
    );
  }, lifetime.signal);
  void follower.run(lifetime.signal);
  return { follower, seen };
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => setTimeout(resolve, POLL_MILLISECONDS));
  }
}

describe("TableFollower", () => {
  afterEach(() => lifetime.abort());

  it("tells of rows that were there, came, changed and went", async () => {
    const feed = new MemoryFeed();
    feed.put(TABLE, "a", "1");
    const { seen } = startFollower(feed);
    await waitUntil(() => seen.get("a") === "1");
    feed.put(TABLE, "a", "2");
    feed.put(TABLE, "b", "3");
    await waitUntil(() => seen.get("a") === "2" && seen.get("b") === "3");
    feed.drop(TABLE, "a");
    await waitUntil(() => seen.has("a") && seen.get("a") === undefined);
  });

  it("finds what changed while the history was dropped", async () => {
    const feed = new MemoryFeed();
    feed.put(TABLE, "a", "1");
    feed.put(TABLE, "b", "1");
    const { seen } = startFollower(feed);
    await waitUntil(() => seen.size === 2);
    feed.isDown = true;
    feed.drop(TABLE, "a");
    feed.put(TABLE, "b", "2");
    feed.forgetHistory();
    feed.isDown = false;
    await waitUntil(() => seen.get("b") === "2");
    await waitUntil(() => seen.get("a") === undefined);
  });

  it("keeps its copy while the store is away, and says how old it is", async () => {
    const feed = new MemoryFeed();
    feed.put(TABLE, "a", "1");
    const { follower, seen } = startFollower(feed);
    await waitUntil(() => seen.size === 1);
    feed.isDown = true;
    await waitUntil(() => !follower.connected);
    await waitUntil(() => follower.freshness.computeAge() > 60);
    expect(follower.listRows()).to.have.lengthOf(1);
    feed.isDown = false;
    await waitUntil(() => follower.connected);
    await waitUntil(() => follower.freshness.computeAge() < 60);
  });

  it("takes over a peer's newer copy and refuses an older one", async () => {
    const feed = new MemoryFeed();
    feed.put(TABLE, "a", "1");
    const { follower, seen } = startFollower(feed);
    await waitUntil(() => seen.size === 1);
    feed.isDown = true;
    await waitUntil(() => !follower.connected);
    const encode = (text: string) => new TextEncoder().encode(text);
    follower.merge({ version: 0, rows: [] });
    expect(seen.get("a")).to.equal("1");
    follower.merge({
      version: 9,
      rows: [{ key: "c", version: 9, value: encode("4") }],
    });
    expect(seen.get("a")).to.equal(undefined);
    expect(seen.get("c")).to.equal("4");
  });
});

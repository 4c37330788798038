import { createSilentLogger, ManualClock } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { MemoryFeed } from "../testing/memory_feed.ts";
import { VmRegistry } from "./vm_registry.ts";

function buildContact(vm: string) {
  return { vm, zone: "zone-a", host: vm, controlPort: 1, callerPort: 2 };
}

function createRegistry(feed: MemoryFeed) {
  const clock = new ManualClock();
  const known = new Set<string>();
  const registry = new VmRegistry({
    self: buildContact("vm-1"),
    feed,
    clock,
    logger: createSilentLogger(),
    learn: ({ vm }) => known.add(vm),
    forget: (vm) => known.delete(vm),
  });
  const ending = new AbortController();
  void registry.run(ending.signal);
  return { clock, known, registry, ending };
}

describe("VmRegistry", () => {
  it("lists itself and learns who else is listed", async () => {
    const feed = new MemoryFeed();
    feed.put("vms", "vm-2", buildContact("vm-2"));
    const { clock, known, registry, ending } = createRegistry(feed);
    await clock.advance(10);
    expect([...known]).to.deep.equal(["vm-2"]);
    const table = (await feed.readTable("vms"))._unsafeUnwrap();
    expect(table.rows.map((row) => row.key)).to.include("vm-1");
    feed.drop("vms", "vm-2");
    await clock.advance(6_000);
    expect(registry.listOthers()).to.deep.equal([]);
    ending.abort();
  });

  it("drops a VM that no longer writes", async () => {
    const feed = new MemoryFeed();
    feed.put("vms", "vm-2", buildContact("vm-2"));
    const { clock, registry, ending } = createRegistry(feed);
    await clock.advance(10);
    await clock.advance(25_000);
    expect(registry.listOthers()).to.deep.equal(["vm-2"]);
    await clock.advance(12_000);
    expect(registry.listOthers()).to.deep.equal([]);
    ending.abort();
  });

  it("keeps what it knows while the store is away, and tries again", async () => {
    const feed = new MemoryFeed();
    feed.isDown = true;
    feed.put("vms", "vm-2", buildContact("vm-2"));
    feed.put("vms", "vm-3", "no contact");
    const { clock, registry, ending } = createRegistry(feed);
    await clock.advance(2_000);
    expect(registry.listOthers()).to.deep.equal([]);
    feed.isDown = false;
    await clock.advance(6_000);
    expect(registry.listOthers()).to.deep.equal(["vm-2"]);
    feed.isDown = true;
    await clock.advance(6_000);
    expect(registry.listOthers()).to.deep.equal(["vm-2"]);
    ending.abort();
  });
});

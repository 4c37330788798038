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
  const contacts = new Set<string>();
  const registry = new VmRegistry({
    self: buildContact("vm-1"),
    feed,
    clock,
    logger: createSilentLogger(),
    addContact: ({ vm }) => contacts.add(vm),
    removeContact: (vm) => contacts.delete(vm),
  });
  const lifetime = new AbortController();
  void registry.run(lifetime.signal);
  return { clock, contacts, registry, lifetime };
}

describe("VmRegistry", () => {
  it("registers itself and discovers the other VMs", async () => {
    const feed = new MemoryFeed();
    feed.put("vms", "vm-2", buildContact("vm-2"));
    const { clock, contacts, registry, lifetime } = createRegistry(feed);
    await clock.advance(10);
    expect([...contacts]).to.deep.equal(["vm-2"]);
    const table = (await feed.readTable("vms"))._unsafeUnwrap();
    expect(table.rows.map((row) => row.key)).to.include("vm-1");
    feed.remove("vms", "vm-2");
    await clock.advance(6_000);
    expect(registry.listOthers()).to.deep.equal([]);
    lifetime.abort();
  });

  it("removes a VM that no longer updates its row", async () => {
    const feed = new MemoryFeed();
    feed.put("vms", "vm-2", buildContact("vm-2"));
    const { clock, registry, lifetime } = createRegistry(feed);
    await clock.advance(10);
    await clock.advance(25_000);
    expect(registry.listOthers()).to.deep.equal(["vm-2"]);
    await clock.advance(12_000);
    expect(registry.listOthers()).to.deep.equal([]);
    lifetime.abort();
  });

  it("keeps its list while the store is unavailable and retries", async () => {
    const feed = new MemoryFeed();
    feed.isDown = true;
    feed.put("vms", "vm-2", buildContact("vm-2"));
    feed.put("vms", "vm-3", "no contact");
    const { clock, registry, lifetime } = createRegistry(feed);
    await clock.advance(2_000);
    expect(registry.listOthers()).to.deep.equal([]);
    feed.isDown = false;
    await clock.advance(6_000);
    expect(registry.listOthers()).to.deep.equal(["vm-2"]);
    feed.isDown = true;
    await clock.advance(6_000);
    expect(registry.listOthers()).to.deep.equal(["vm-2"]);
    lifetime.abort();
  });
});

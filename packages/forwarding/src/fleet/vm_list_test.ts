import {
  createSilentLogger,
  Emitter,
  ManualClock,
  RandomSource,
} from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { MemoryFeed } from "../testing/memory_feed.ts";
import { VmList } from "./vm_list.ts";

function buildContact(vm: string, zone = "zone-a") {
  return { vm, zone, host: vm, controlPort: 1, callerPort: 2, capacity: 0.5 };
}

function createList(options: { isFollower: boolean }) {
  const clock = new ManualClock();
  const feed = new MemoryFeed(clock);
  const contacts = new Set<string>();
  const answering = new Set<string>();
  const storeRestored = new Emitter<void>();
  const list = new VmList({
    self: buildContact("vm-1"),
    feed,
    clock,
    random: new RandomSource(1),
    storeRestored,
    logger: createSilentLogger(),
    isFollower: () => options.isFollower,
    isAnswering: (vm) => answering.has(vm),
    addContacts: (added) => added.forEach(({ vm }) => contacts.add(vm)),
  });
  const lifetime = new AbortController();
  const start = () => void list.run(lifetime.signal);
  const listRows = async () =>
    (await feed.readTable("vms"))._unsafeUnwrap().rows.map(({ key }) => key);
  return {
    clock,
    feed,
    contacts,
    answering,
    list,
    lifetime,
    start,
    listRows,
    storeRestored,
  };
}

describe("VmList", () => {
  it("registers this VM, finds the others, and then calls the store no more", async () => {
    const fixture = createList({ isFollower: false });
    fixture.feed.put("vms", "vm-2", buildContact("vm-2"));
    fixture.start();
    await fixture.clock.advance(10);
    expect([...fixture.contacts]).to.deep.equal(["vm-2"]);
    expect(fixture.list.size).to.equal(2);
    expect(await fixture.listRows()).to.include("vm-1");
    const { calls } = fixture.feed;
    await fixture.clock.advance(120_000);
    expect(fixture.feed.calls).to.equal(calls);
    fixture.lifetime.abort();
  });

  it("writes this VM's row again when a restored store has lost it", async () => {
    const fixture = createList({ isFollower: false });
    const copy = fixture.feed.copy();
    fixture.start();
    await fixture.clock.advance(1_000);
    fixture.feed.restore(copy);
    expect(await fixture.listRows()).to.deep.equal([]);
    fixture.feed.isDown = true;
    fixture.storeRestored.emit();
    await fixture.clock.advance(3_000);
    fixture.feed.isDown = false;
    await fixture.clock.advance(3_000);
    expect(await fixture.listRows()).to.deep.equal(["vm-1"]);
    const { calls } = fixture.feed;
    await fixture.clock.advance(120_000);
    expect(fixture.feed.calls).to.equal(calls);
    fixture.lifetime.abort();
  });

  it("retries until the store is available, and ignores rows that hold no contact", async () => {
    const fixture = createList({ isFollower: false });
    fixture.feed.isDown = true;
    fixture.feed.put("vms", "vm-2", buildContact("vm-2"));
    fixture.feed.put("vms", "vm-3", "no contact");
    fixture.start();
    await fixture.clock.advance(5_000);
    expect(fixture.list.size).to.equal(undefined);
    fixture.feed.isDown = false;
    await fixture.clock.advance(2_000);
    expect([...fixture.contacts]).to.deep.equal(["vm-2"]);
    fixture.lifetime.abort();
  });

  it("removes the row of a VM of its zone that has not answered for a minute", async () => {
    const fixture = createList({ isFollower: true });
    fixture.feed.put("vms", "vm-2", buildContact("vm-2"));
    fixture.feed.put("vms", "vm-3", buildContact("vm-3"));
    fixture.feed.put("vms", "vm-4", buildContact("vm-4", "zone-b"));
    fixture.answering.add("vm-3");
    fixture.start();
    await fixture.clock.advance(1);
    await fixture.clock.advance(30_000);
    expect(await fixture.listRows()).to.include("vm-2");
    await fixture.clock.advance(30_000);
    expect(await fixture.listRows()).to.have.members(["vm-1", "vm-3", "vm-4"]);
    fixture.lifetime.abort();
  });
});

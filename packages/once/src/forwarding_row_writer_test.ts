import { ManualClock, RandomSource } from "@rattanvane/base";
import { PlatformErrorKind, WriteConditionKind } from "@rattanvane/platform";
import {
  MemoryTableService,
  PlatformFaults,
} from "@rattanvane/platform/testing";
import {
  type Message,
  MessageSender,
  type RowMessage,
  type VmId,
} from "@rattanvane/protocol";
import { expect } from "chai";
import { describe, it } from "mocha";
import { ForwardingRowWriter } from "./forwarding_row_writer.ts";
import { pickCollector, pickCollectors } from "./collectors.ts";
import { LocalRowWriter } from "./local_row_writer.ts";
import type { ConditionalWrite } from "./row_writer.ts";

const VMS = Array.from({ length: 20 }, (_, number) => `v${number}`);
const COLLECTORS = 2;
const TIMEOUT_MILLISECONDS = 1_000;
const signal = new AbortController().signal;
const { Conflict, OutcomeUnknown, Unavailable } = PlatformErrorKind;

class ZoneSender extends MessageSender {
  readonly #deliver: (vm: VmId, message: Message) => void;

  constructor(deliver: (vm: VmId, message: Message) => void) {
    super();
    this.#deliver = deliver;
  }

  override send(vm: VmId, message: Message): void {
    this.#deliver(vm, message);
  }

  override registerContact(): void {}
}

function createInsert(key: string): ConditionalWrite {
  return { key, condition: { kind: WriteConditionKind.Absent }, value: "{}" };
}

/** A zone whose VMs write through two collectors. */
function createZone() {
  const clock = new ManualClock();
  const faults = new PlatformFaults(clock);
  const table = new MemoryTableService(faults);
  const dead = new Set<VmId>();
  const writers = new Map<VmId, ForwardingRowWriter>();
  const createWriter = (self: VmId) =>
    new ForwardingRowWriter({
      self,
      correlationPrefix: self,
      sender: new ZoneSender((to, message) => {
        if (!dead.has(to) && !dead.has(self)) {
          writers.get(to)?.handle(message as RowMessage, self);
        }
      }),
      clock,
      local: new LocalRowWriter({
        table,
        clock,
        random: new RandomSource(1),
        writerId: self,
        batchMilliseconds: 10,
      }, signal),
      findCollector: (key) => {
        const collectors = pickCollectors(VMS, COLLECTORS);
        return pickCollector(key, { self, collectors });
      },
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
    }, signal);
  for (const vm of VMS) {
    writers.set(vm, createWriter(vm));
  }
  /** Writes a row at each VM; returns the new version or the error kind of each. */
  const writeAll = async (createWrite: (vm: VmId) => ConditionalWrite) => {
    let settled = false;
    const written = Promise.all(
      [...writers].map(async ([vm, writer]) => {
        const result = await writer.write(createWrite(vm), signal);
        return result.isOk() ? result.value.version : result.error.kind;
      }),
    );
    void written.then(() => settled = true);
    while (!settled) {
      await clock.advance(10);
    }
    return await written;
  };
  return { faults, table, dead, writeAll };
}

function countByValue(results: unknown[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const result of results) {
    counts[String(result)] = (counts[String(result)] ?? 0) + 1;
  }
  return counts;
}

describe("ForwardingRowWriter", () => {
  it("writes the rows of a zone in one transaction per collector", async () => {
    const { faults, table, writeAll } = createZone();
    const results = await writeAll((vm) => createInsert(`row-${vm}`));
    expect(countByValue(results)).to.deep.equal({ 1: VMS.length });
    expect(faults.writes).to.equal(COLLECTORS);
    const rows = table.listKeys().filter((key) => key.startsWith("row-"));
    expect(rows).to.have.length(VMS.length);
  });

  it("lets exactly one VM insert a row that all VMs insert", async () => {
    const { writeAll } = createZone();
    const results = await writeAll(() => createInsert("row"));
    expect(countByValue(results)).to.deep.equal({
      1: 1,
      [Conflict]: VMS.length - 1,
    });
  });

  it("updates and deletes rows only at the given version", async () => {
    const { table, writeAll } = createZone();
    await writeAll((vm) => createInsert(`row-${vm}`));
    const condition = {
      kind: WriteConditionKind.AtVersion,
      version: 1,
    } as const;
    const updated = await writeAll((vm) => ({
      key: `row-${vm}`,
      condition,
      value: "2",
    }));
    expect(countByValue(updated)).to.deep.equal({ 2: VMS.length });
    const stale = await writeAll((vm) => ({
      key: `row-${vm}`,
      condition,
      value: undefined,
    }));
    expect(countByValue(stale)).to.deep.equal({ [Conflict]: VMS.length });
    const deleted = await writeAll((vm) => ({
      key: `row-${vm}`,
      condition: { ...condition, version: 2 },
      value: undefined,
    }));
    expect(countByValue(deleted)).to.deep.equal({ 0: VMS.length });
    const rows = table.listKeys().filter((key) => key.startsWith("row-"));
    expect(rows).to.deep.equal([]);
  });

  it("reports rows as not written during a platform outage", async () => {
    const { faults, writeAll } = createZone();
    faults.outage = true;
    const results = await writeAll((vm) => createInsert(vm));
    expect(countByValue(results)).to.deep.equal({ [Unavailable]: VMS.length });
  });

  it("reports an unknown outcome when the platform's answers to a collector are lost", async () => {
    const { faults, table, writeAll } = createZone();
    const write = table.write.bind(table);
    table.write = (writes, writeSignal) => {
      faults.lostAnswers = 1;
      const result = write(writes, writeSignal);
      faults.outage = true;
      return result;
    };
    const results = await writeAll((vm) => createInsert(`row-${vm}`));
    const { [OutcomeUnknown]: unknown = 0 } = countByValue(results);
    const rows = table.listKeys().filter((key) => key.startsWith("row-"));
    expect(rows.length).to.be.above(0);
    expect(unknown).to.be.at.least(rows.length);
  });

  it("reports an unknown outcome for rows whose collector does not answer", async () => {
    const { dead, writeAll } = createZone();
    const [first = ""] = pickCollectors(VMS, COLLECTORS);
    dead.add(first);
    const results = countByValue(
      await writeAll((vm) => createInsert(`row-${vm}`)),
    );
    expect(results[OutcomeUnknown]).to.be.above(0);
    expect((results["1"] ?? 0) + (results[OutcomeUnknown] ?? 0)).to.equal(
      VMS.length,
    );
  });
});

describe("pickCollectors", () => {
  it("picks the same VMs whatever their order, and replaces only a VM that has died", () => {
    const picked = pickCollectors(VMS, COLLECTORS);
    expect(pickCollectors([...VMS].reverse(), COLLECTORS)).to.deep.equal(
      picked,
    );
    const left = VMS.filter((vm) => vm !== picked[0]);
    const next = pickCollectors(left, COLLECTORS);
    expect(next).to.include(picked[1]);
    expect(next).to.not.include(picked[0]);
  });

  it("lets a collector, and a VM without collectors, write its own rows", () => {
    const collectors = ["v1", "v2"];
    for (const key of ["a", "b", "c", "d", "e"]) {
      expect(pickCollector(key, { self: "v2", collectors })).to.equal("v2");
      expect(pickCollector(key, { self: "v9", collectors: [] })).to.equal("v9");
      expect(collectors).to.include(
        pickCollector(key, { self: "v9", collectors }),
      );
    }
  });
});

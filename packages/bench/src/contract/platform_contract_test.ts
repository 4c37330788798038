import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import { RandomSource, SystemClock } from "@rattanvane/base";
import { PlatformServer } from "@rattanvane/emulator";
import {
  DEFAULT_FLEET_RATES,
  HttpObjectStore,
  HttpTableService,
  HttpVmList,
  PlatformBudget,
  PlatformErrorKind,
  PlatformTransport,
  type RowWrite,
  WriteConditionKind,
} from "@rattanvane/platform";
import { JsonClient } from "../common/json_client.ts";

const ALWAYS = { kind: WriteConditionKind.Always } as const;

let end: AbortController;

beforeEach(() => {
  end = new AbortController();
});

afterEach(() => end.abort());

/** Starts the stand-in and the product's clients of it. */
async function startPlatform() {
  const clock = new SystemClock();
  const random = new RandomSource(1);
  const server = new PlatformServer({
    host: "127.0.0.1",
    port: 0,
    clock,
    writesPerSecond: 400,
    readsPerSecond: 2000,
    vmListLagMilliseconds: 0,
  }, end.signal);
  await server.start();
  const url = `http://127.0.0.1:${server.port}`;
  const transport = new PlatformTransport({
    url,
    clock,
    random,
    budget: new PlatformBudget(DEFAULT_FLEET_RATES, { clock, random }),
    deadlineMilliseconds: 300,
  }, end.signal);
  return {
    admin: new JsonClient(url),
    table: new HttpTableService(transport),
    objects: new HttpObjectStore(transport),
    vms: new HttpVmList(transport),
  };
}

function createWrite(key: string, changes: Partial<RowWrite> = {}): RowWrite {
  return { key, condition: ALWAYS, value: `"${key}"`, ...changes };
}

describe("contract: platform clients against the stand-in", () => {
  it("writes, reads and lists rows", async () => {
    const { table } = await startPlatform();
    const written = await table.write(
      [createWrite("p/2"), createWrite("p/1"), createWrite("q")],
      end.signal,
    );
    expect(written._unsafeUnwrap()).to.deep.equal([
      { key: "p/2", version: 1 },
      { key: "p/1", version: 1 },
      { key: "q", version: 1 },
    ]);
    const rows = await table.readRange(
      { prefix: "p/", afterKey: "p/1", limit: 5 },
      end.signal,
    );
    expect(rows._unsafeUnwrap())
      .to.deep.equal([{ key: "p/2", version: 1, value: '"p/2"' }]);
    const missing = await table.read("p/3", end.signal);
    expect(missing._unsafeUnwrap()).to.equal(undefined);
  });

  it("tells the keys of a conflict", async () => {
    const { table } = await startPlatform();
    await table.write([createWrite("k")], end.signal);
    const absent = { kind: WriteConditionKind.Absent } as const;
    const result = await table.write(
      [createWrite("other"), createWrite("k", { condition: absent })],
      end.signal,
    );
    const error = result._unsafeUnwrapErr();
    expect(error.kind).to.equal(PlatformErrorKind.Conflict);
    expect(error.conflicts).to.deep.equal(["k"]);
  });

  it("deletes a row at its version", async () => {
    const { table } = await startPlatform();
    await table.write([createWrite("k")], end.signal);
    const atVersion = { kind: WriteConditionKind.AtVersion, version: 1 };
    const removal = createWrite("k", {
      condition: atVersion as RowWrite["condition"],
      value: undefined,
    });
    const result = await table.write([removal], end.signal);
    expect(result._unsafeUnwrap()).to.deep.equal([{ key: "k", version: 0 }]);
    expect((await table.read("k", end.signal))._unsafeUnwrap())
      .to.equal(undefined);
  });

  const faultCases = [
    {
      faults: { outage: true },
      kind: PlatformErrorKind.Unavailable,
      isWritten: false,
    },
    {
      faults: { loseWriteAnswers: 1 },
      kind: PlatformErrorKind.OutcomeUnknown,
      isWritten: true,
    },
    {
      faults: { delayMilliseconds: 600 },
      kind: PlatformErrorKind.OutcomeUnknown,
      isWritten: undefined,
    },
  ];
  for (const { faults, kind, isWritten } of faultCases) {
    it(`tells ${kind} under ${JSON.stringify(faults)}`, async () => {
      const { table, admin } = await startPlatform();
      await admin.send({ method: "POST", path: "/admin/faults", body: faults });
      const result = await table.write([createWrite("k")], end.signal);
      expect(result._unsafeUnwrapErr().kind).to.equal(kind);
      await admin.send({ method: "POST", path: "/admin/faults", body: {} });
      const row = (await table.read("k", end.signal))._unsafeUnwrap();
      if (isWritten !== undefined) {
        expect(row !== undefined).to.equal(isWritten);
      }
    });
  }

  it("keeps objects under names with slashes", async () => {
    const { objects } = await startPlatform();
    const content = new Uint8Array([0, 128, 255]);
    const { signal } = end;
    (await objects.put("a/b c", content, signal))._unsafeUnwrap();
    const got = (await objects.get("a/b c", signal))._unsafeUnwrap();
    expect([...got ?? []]).to.deep.equal([...content]);
    expect((await objects.list("a/", signal))._unsafeUnwrap())
      .to.deep.equal(["a/b c"]);
    (await objects.delete("a/b c", signal))._unsafeUnwrap();
    expect((await objects.get("a/b c", signal))._unsafeUnwrap())
      .to.equal(undefined);
  });

  it("lists VMs", async () => {
    const { vms, admin } = await startPlatform();
    const entry = {
      zone: "zone-a",
      host: "127.1.1.1",
      controlPort: 9080,
      callerPort: 8080,
    };
    const path = "/admin/vms/vm-a1";
    await admin.send({ method: "PUT", path, body: entry });
    expect((await vms.list(end.signal))._unsafeUnwrap())
      .to.deep.equal([{ vm: "vm-a1", state: "live", ...entry }]);
  });
});

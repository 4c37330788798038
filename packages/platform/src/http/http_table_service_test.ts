import { RandomSource, SystemClock } from "@rattanvane/base";
import { expect } from "chai";
import { afterEach, describe, it } from "mocha";
import { PlatformErrorKind } from "../platform_error.ts";
import { WriteConditionKind } from "../table_service.ts";
import { ListedVmState } from "../vm_list.ts";
import {
  createAnswer,
  type FaultServer,
  type RequestHandler,
  startFaultServer,
} from "./fault_server_fixture.ts";
import { HttpObjectStore } from "./http_object_store.ts";
import { HttpTableService } from "./http_table_service.ts";
import { HttpVmList } from "./http_vm_list.ts";
import { PlatformBudget } from "./platform_budget.ts";
import { PlatformTransport } from "./platform_transport.ts";

const { BadResponse, Conflict, OutcomeUnknown } = PlatformErrorKind;
const signal = new AbortController().signal;
const INSERT = {
  key: "a/1",
  condition: { kind: WriteConditionKind.Absent } as const,
  value: "{}",
};

describe("HTTP clients of the platform", () => {
  const servers: FaultServer[] = [];

  afterEach(async () => {
    await Promise.all(servers.splice(0).map((server) => server.close()));
  });

  async function createClients(...handlers: RequestHandler[]) {
    const server = await startFaultServer(...handlers);
    servers.push(server);
    const clock = new SystemClock();
    const random = new RandomSource(1);
    const rates = { readsPerSecond: 10_000, writesPerSecond: 10_000 };
    const budget = new PlatformBudget(rates, { clock, random });
    const transport = new PlatformTransport(
      { url: `${server.url}/base/`, clock, random, budget },
      signal,
    );
    return {
      server,
      table: new HttpTableService(transport),
      objects: new HttpObjectStore(transport),
      vms: new HttpVmList(transport),
    };
  }

  const badReads: [string, number, string][] = [
    ["malformed JSON", 200, "{"],
    ["a version that is no number", 200, '{"key":"a","version":"1"}'],
    ["another row", 200, '{"key":"b","version":1,"value":"{}"}'],
    ["an unknown status", 400, "{}"],
  ];
  for (const [fault, status, body] of badReads) {
    it(`a read refuses ${fault}`, async () => {
      const { table } = await createClients(createAnswer(status, body));
      const row = await table.read("a", signal);
      expect(row._unsafeUnwrapErr().kind).to.equal(BadResponse);
    });
  }

  const badWrites: [string, number, string][] = [
    ["malformed JSON", 200, "{"],
    ["an answer without the row", 200, '{"rows":[]}'],
    ["a conflict that names no row", 409, "{}"],
    ["an unknown status", 400, "{}"],
  ];
  for (const [fault, status, body] of badWrites) {
    it(`a write takes ${fault} for an unknown outcome`, async () => {
      const { table } = await createClients(createAnswer(status, body));
      const written = await table.write([INSERT], signal);
      expect(written._unsafeUnwrapErr().kind).to.equal(OutcomeUnknown);
    });
  }

  it("a write names the conflicting rows", async () => {
    const { table } = await createClients(
      createAnswer(409, '{"conflicts":["a/1"]}'),
    );
    const error = (await table.write([INSERT], signal))._unsafeUnwrapErr();
    expect(error.kind).to.equal(Conflict);
    expect(error.conflicts).to.deep.equal(["a/1"]);
  });

  it("reads, ranges and writes follow the protocol", async () => {
    const { server, table } = await createClients(
      createAnswer(200, '{"key":"a/ä&1","version":2,"value":"{}"}'),
      createAnswer(404, "{}"),
      createAnswer(200, '{"rows":[{"key":"a/1","version":1,"value":"x"}]}'),
      createAnswer(200, '{"rows":[{"key":"a/1","version":1}]}'),
    );
    const found = await table.read("a/ä&1", signal);
    const absent = await table.read("none", signal);
    const rows = await table.readRange(
      { prefix: "a/", afterKey: "a/0", limit: 5 },
      signal,
    );
    const written = await table.write([INSERT], signal);
    expect(found._unsafeUnwrap()?.version).to.equal(2);
    expect(absent._unsafeUnwrap()).to.equal(undefined);
    expect(rows._unsafeUnwrap()).to.have.length(1);
    expect(written._unsafeUnwrap()).to.deep.equal([{ key: "a/1", version: 1 }]);
    const urls = server.requests.map((request) =>
      new URL(request.url ?? "", server.url)
    );
    expect(urls[0]?.searchParams.get("key")).to.equal("a/ä&1");
    expect(urls[2]?.search).to.equal("?prefix=a%2F&limit=5&after=a%2F0");
    expect(urls[3]?.pathname).to.equal("/base/table/transactions");
  });

  it("objects are read, written, listed and deleted", async () => {
    const { server, objects } = await createClients(
      createAnswer(200, "bytes"),
      createAnswer(404, ""),
      createAnswer(204, ""),
      createAnswer(200, '{"names":["a/b"]}'),
      createAnswer(204, ""),
    );
    const found = (await objects.get("a/b", signal))._unsafeUnwrap();
    expect(new TextDecoder().decode(found)).to.equal("bytes");
    const absent = await objects.get("c", signal);
    expect(absent._unsafeUnwrap()).to.equal(undefined);
    const put = await objects.put("a/b", new Uint8Array([1]), signal);
    expect(put.isOk()).to.equal(true);
    const names = await objects.list("a/", signal);
    expect(names._unsafeUnwrap()).to.deep.equal(["a/b"]);
    expect((await objects.delete("a/b", signal)).isOk()).to.equal(true);
    expect(server.requests.map((request) => request.method)).to.deep.equal(
      ["GET", "GET", "PUT", "GET", "DELETE"],
    );
    expect(server.requests[2]?.url).to.equal("/base/objects/a%2Fb");
  });

  it("an object write takes an unknown status for an unknown outcome", async () => {
    const { objects } = await createClients(createAnswer(400, ""));
    const put = await objects.put("a", new Uint8Array([1]), signal);
    expect(put._unsafeUnwrapErr().kind).to.equal(OutcomeUnknown);
  });

  it("the VM list is checked", async () => {
    const vm = {
      vm: "v1",
      zone: "z1",
      host: "127.0.0.1",
      controlPort: 1,
      callerPort: 2,
      state: ListedVmState.Leaving,
    };
    const wrong = { ...vm, state: "gone" };
    const { vms } = await createClients(
      createAnswer(200, JSON.stringify({ vms: [vm] })),
      createAnswer(200, JSON.stringify({ vms: [wrong] })),
    );
    expect((await vms.list(signal))._unsafeUnwrap()).to.deep.equal([vm]);
    const refused = await vms.list(signal);
    expect(refused._unsafeUnwrapErr().kind).to.equal(BadResponse);
  });
});

import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import { ManualClock } from "@rattanvane/base";
import { sendJson } from "../testing/http_calls.ts";
import { PlatformServer } from "./platform_server.ts";

interface Fixture {
  clock: ManualClock;
  url: string;
}

let end: AbortController;

beforeEach(() => {
  end = new AbortController();
});

afterEach(() => end.abort());

async function startPlatform(
  changes: { writesPerSecond?: number; readsPerSecond?: number } = {},
): Promise<Fixture> {
  const clock = new ManualClock();
  const server = new PlatformServer({
    host: "127.0.0.1",
    port: 0,
    clock,
    writesPerSecond: 400,
    readsPerSecond: 2000,
    vmListLagMilliseconds: 1000,
    ...changes,
  }, end.signal);
  await server.start();
  return { clock, url: `http://127.0.0.1:${server.port}` };
}

async function sendWrites(url: string, ...writes: object[]) {
  return await sendJson(`${url}/table/transactions`, { body: { writes } });
}

function createWrite(key: string, changes: object = {}): object {
  return { key, condition: "always", value: `"${key}"`, ...changes };
}

describe("platform stand-in: table", () => {
  const conditionCases = [
    { condition: "absent", exists: false, status: 200 },
    { condition: "absent", exists: true, status: 409 },
    { condition: "always", exists: false, status: 200 },
    { condition: "always", exists: true, status: 200 },
    { condition: "atVersion", version: 1, exists: true, status: 200 },
    { condition: "atVersion", version: 2, exists: true, status: 409 },
    { condition: "atVersion", version: 1, exists: false, status: 409 },
  ];
  for (const { exists, status, ...condition } of conditionCases) {
    const place = exists ? "a row at version 1" : "no row";
    it(`answers ${JSON.stringify(condition)} on ${place} with ${status}`, async () => {
      const { url } = await startPlatform();
      if (exists) {
        await sendWrites(url, createWrite("k"));
      }
      const answer = await sendWrites(url, createWrite("k", condition));
      expect(answer.status).to.equal(status);
      expect(answer.body).to.deep.equal(
        status === 409
          ? { conflicts: ["k"] }
          : { rows: [{ key: "k", version: exists ? 2 : 1 }] },
      );
    });
  }

  it("writes all rows of a transaction or none", async () => {
    const { url } = await startPlatform();
    await sendWrites(url, createWrite("b"));
    const answer = await sendWrites(
      url,
      createWrite("a"),
      createWrite("b", { condition: "absent" }),
    );
    expect(answer.status).to.equal(409);
    expect((await sendJson(`${url}/table/row?key=a`)).status).to.equal(404);
  });

  it("lists a range in key order and deletes rows", async () => {
    const { url } = await startPlatform();
    await sendWrites(
      url,
      ...["p/3", "q", "p/1", "p/2", "o"].map((key) => createWrite(key)),
    );
    await sendWrites(url, createWrite("p/2", { value: null }));
    const list = async (query: string) =>
      (await sendJson<{ rows: { key: string }[] }>(
        `${url}/table/rows?${query}`,
      )).body.rows.map((row) => row.key);
    expect(await list("prefix=p/")).to.deep.equal(["p/1", "p/3"]);
    expect(await list("prefix=p/&after=p/1")).to.deep.equal(["p/3"]);
    expect(await list("prefix=p/&limit=1")).to.deep.equal(["p/1"]);
  });

  const malformedCases = [
    { writes: [createWrite("k", { condition: "sometimes" })] },
    { writes: [createWrite("k"), createWrite("k")] },
    { writes: Array.from({ length: 101 }, (_, n) => createWrite(`k${n}`)) },
    { writes: [{ key: "k", condition: "always" }] },
    {},
  ];
  malformedCases.forEach((body, index) => {
    it(`refuses malformed transaction ${index + 1}`, async () => {
      const { url } = await startPlatform();
      const answer = await sendJson(`${url}/table/transactions`, { body });
      expect(answer.status).to.equal(400);
    });
  });
});

describe("platform stand-in: objects and VM list", () => {
  it("keeps, lists and deletes objects", async () => {
    const { url } = await startPlatform();
    const name = encodeURIComponent("snapshots/7");
    const put = await fetch(`${url}/objects/${name}`, {
      method: "PUT",
      body: new Uint8Array([0, 255, 7]),
    });
    expect(put.status).to.equal(204);
    const got = await fetch(`${url}/objects/${name}`);
    expect([...new Uint8Array(await got.arrayBuffer())])
      .to.deep.equal([0, 255, 7]);
    expect((await sendJson(`${url}/objects?prefix=snap`)).body)
      .to.deep.equal({ names: ["snapshots/7"] });
    await fetch(`${url}/objects/${name}`, { method: "DELETE" });
    expect((await fetch(`${url}/objects/${name}`)).status).to.equal(404);
  });

  it("shows VMs after the lag", async () => {
    const { url, clock } = await startPlatform();
    const vm = `${url}/admin/vms/vm-a1`;
    const entry = {
      zone: "zone-a",
      host: "127.0.0.1",
      controlPort: 1,
      callerPort: 2,
    };
    const list = async () =>
      (await sendJson<{ vms: { state: string }[] }>(`${url}/vms`)).body.vms
        .map((each) => each.state);
    await sendJson(vm, { method: "PUT", body: entry });
    await clock.advance(999);
    expect(await list()).to.deep.equal([]);
    await clock.advance(1);
    expect(await list()).to.deep.equal(["live"]);
    await sendJson(vm, { method: "PATCH", body: { state: "leaving" } });
    expect(await list()).to.deep.equal(["live"]);
    await clock.advance(1000);
    expect(await list()).to.deep.equal(["leaving"]);
    await sendJson(vm, { method: "DELETE" });
    await clock.advance(1000);
    expect(await list()).to.deep.equal([]);
  });
});

describe("platform stand-in: budget and faults", () => {
  it("puts off what is over the budget until the next second", async () => {
    const { url, clock } = await startPlatform({ writesPerSecond: 3 });
    const statuses = [];
    for (let index = 0; index < 4; index++) {
      const writes = [createWrite(`a${index}`), createWrite(`b${index}`)];
      const answer = await sendWrites(url, ...writes);
      statuses.push(answer.status);
    }
    expect(statuses).to.deep.equal([200, 200, 200, 429]);
    expect((await sendJson(`${url}/table/row?key=a3`)).status).to.equal(404);
    await clock.advance(1000);
    const late = await sendWrites(url, createWrite("a3"));
    expect(late.status).to.equal(200);
    expect((await sendJson(`${url}/admin/counters`)).body)
      .to.include({ writes: 4, reads: 1, refused: 1 });
  });

  it("tells when to come back", async () => {
    const { url } = await startPlatform({ readsPerSecond: 1 });
    await sendJson(`${url}/vms`);
    const answer = await sendJson(`${url}/vms`);
    expect(answer.status).to.equal(429);
    expect(answer.headers.get("retry-after")).to.equal("1");
  });

  it("does nothing during an outage", async () => {
    const { url } = await startPlatform();
    await sendJson(`${url}/admin/faults`, { body: { outage: true } });
    const answer = await sendWrites(url, createWrite("k"));
    expect(answer.status).to.equal(503);
    await sendJson(`${url}/admin/faults`, { body: {} });
    expect((await sendJson(`${url}/table/row?key=k`)).status).to.equal(404);
  });

  it("loses the answer of a write that took effect", async () => {
    const { url } = await startPlatform();
    await sendJson(`${url}/admin/faults`, { body: { loseWriteAnswers: 1 } });
    const failure = await sendWrites(url, createWrite("k"))
      .catch((error) => error);
    expect(failure).to.be.an("error");
    expect((await sendJson(`${url}/table/row?key=k`)).status).to.equal(200);
    expect((await sendJson(`${url}/admin/counters`)).body)
      .to.include({ lost: 1, writes: 1 });
  });

  it("loses the fraction that the seed decides", async () => {
    const { url } = await startPlatform();
    const faults = { loseWriteAnswers: 0.5, seed: 11 };
    const collectLosses = async () => {
      await sendJson(`${url}/admin/faults`, { body: faults });
      const losses = [];
      for (let index = 0; index < 12; index++) {
        losses.push(
          await sendWrites(url, createWrite("k"))
            .then(() => false, () => true),
        );
      }
      return losses;
    };
    const first = await collectLosses();
    expect(first).to.include(true);
    expect(first).to.include(false);
    expect(await collectLosses()).to.deep.equal(first);
  });

  it("is slow", async () => {
    const { url, clock } = await startPlatform();
    await sendJson(`${url}/admin/faults`, { body: { delayMilliseconds: 300 } });
    let answered = false;
    const call = sendJson(`${url}/vms`).then(() => {
      answered = true;
    });
    await sendJson(`${url}/admin/counters`);
    await clock.advance(299);
    await sendJson(`${url}/admin/counters`);
    expect(answered).to.equal(false);
    while (!answered) {
      await clock.advance(1);
    }
    await call;
  });
});

import { createSilentLogger, ManualClock } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { EndpointPhase } from "../model/endpoint_record.ts";
import { buildEndpoint } from "../testing/fixtures.ts";
import {
  DirectoryChangeKind,
  EndpointDirectory,
} from "./endpoint_directory.ts";

function createDirectory() {
  const clock = new ManualClock();
  const directory = new EndpointDirectory({
    clock,
    logger: createSilentLogger(),
  });
  const kinds: DirectoryChangeKind[] = [];
  directory.changes.listen(
    ({ kind }) => kinds.push(kind),
    new AbortController().signal,
  );
  return { clock, directory, kinds };
}

describe("EndpointDirectory", () => {
  it("reports draining endpoints and drained zones as unavailable", () => {
    const { directory } = createDirectory();
    directory.update(buildEndpoint("e1"));
    directory.update(buildEndpoint("e2", { phase: EndpointPhase.Draining }));
    expect(directory.isAvailable("e1")).to.equal(true);
    expect(directory.isAvailable("e2")).to.equal(false);
    directory.updateZoneDrain("zone-a", true);
    expect(directory.isAvailable("e1")).to.equal(false);
    directory.updateZoneDrain("zone-a", false);
    expect(directory.isAvailable("e1")).to.equal(true);
  });

  it("removes an endpoint at once while the store is available", () => {
    const { directory } = createDirectory();
    directory.update(buildEndpoint("e1"));
    directory.remove("e1");
    expect(directory.isAvailable("e1")).to.equal(false);
  });

  it("keeps endpoints that expire in a store outage until they could register again", async () => {
    const { clock, directory, kinds } = createDirectory();
    directory.update(buildEndpoint("e1"));
    directory.update(buildEndpoint("e2"));
    directory.holdRemovals();
    directory.remove("e1");
    directory.remove("e2");
    await clock.advance(10_000);
    directory.removeExpired();
    expect(directory.isAvailable("e1")).to.equal(true);
    directory.scheduleRemovals();
    directory.update(buildEndpoint("e1"));
    await clock.advance(2_200);
    directory.removeExpired();
    expect(directory.isAvailable("e1")).to.equal(true);
    expect(directory.isAvailable("e2")).to.equal(false);
    expect(kinds.at(-1)).to.equal(DirectoryChangeKind.Removed);
  });

  it("remembers for a while that an endpoint was removed", async () => {
    const { clock, directory } = createDirectory();
    expect(directory.isClosed("e1")).to.equal(false);
    directory.update(buildEndpoint("e1"));
    expect(directory.isClosed("e1")).to.equal(false);
    directory.remove("e1");
    expect(directory.isClosed("e1")).to.equal(true);
    directory.update(buildEndpoint("e1"));
    expect(directory.isClosed("e1")).to.equal(false);
    directory.remove("e1");
    await clock.advance(61_000);
    directory.removeExpired();
    expect(directory.isClosed("e1")).to.equal(false);
  });

  it("distinguishes a new endpoint, an update and a restart under the same id", () => {
    const { directory, kinds } = createDirectory();
    directory.update(buildEndpoint("e1"));
    directory.update(buildEndpoint("e1", { coldMilliseconds: 5 }));
    directory.update(buildEndpoint("e1", { startedAtUnixMilliseconds: 2 }));
    expect(kinds).to.deep.equal([
      DirectoryChangeKind.Discovered,
      DirectoryChangeKind.Updated,
      DirectoryChangeKind.Started,
    ]);
  });

  it("closes an endpoint that announced its shutdown until another process registers", () => {
    const { directory, kinds } = createDirectory();
    directory.update(buildEndpoint("e1", { startedAtUnixMilliseconds: 5 }));
    const departure = { endpoint: "e1", startedAtUnixMilliseconds: 5 };
    directory.recordDeparture(departure);
    directory.recordDeparture(departure);
    expect(kinds).to.have.lengthOf(2);
    expect(directory.isClosed("e1")).to.equal(true);
    for (const startedAtUnixMilliseconds of [4, 5]) {
      directory.update(buildEndpoint("e1", { startedAtUnixMilliseconds }));
    }
    expect(directory.isAvailable("e1")).to.equal(false);
    directory.remove("e1");
    directory.update(buildEndpoint("e1", { startedAtUnixMilliseconds: 5 }));
    expect(directory.isAvailable("e1")).to.equal(false);
    directory.update(buildEndpoint("e1", { startedAtUnixMilliseconds: 6 }));
    expect(directory.isAvailable("e1")).to.equal(true);
    directory.recordDeparture(departure);
    expect(directory.isAvailable("e1")).to.equal(true);
  });

  it("applies a departure to an endpoint that registers later", async () => {
    const { clock, directory } = createDirectory();
    directory.recordDeparture({ endpoint: "e1" });
    expect(directory.isClosed("e1")).to.equal(true);
    directory.update(buildEndpoint("e1"));
    expect(directory.isAvailable("e1")).to.equal(false);
    directory.recordDeparture({ endpoint: "e2" });
    await clock.advance(61_000);
    directory.removeExpired();
    expect(directory.isClosed("e1")).to.equal(true);
    expect(directory.isClosed("e2")).to.equal(false);
  });
});

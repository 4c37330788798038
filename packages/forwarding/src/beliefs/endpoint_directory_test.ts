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
  it("closes an endpoint that drains, and one of a drained zone", () => {
    const { directory } = createDirectory();
    directory.update(buildEndpoint("e1"));
    directory.update(buildEndpoint("e2", { phase: EndpointPhase.Draining }));
    expect(directory.isOpen("e1")).to.equal(true);
    expect(directory.isOpen("e2")).to.equal(false);
    directory.updateDrain("zone-a", true);
    expect(directory.isOpen("e1")).to.equal(false);
    directory.updateDrain("zone-a", false);
    expect(directory.isOpen("e1")).to.equal(true);
  });

  it("removes an endpoint at once while the store answers", () => {
    const { directory } = createDirectory();
    directory.update(buildEndpoint("e1"));
    directory.remove("e1");
    expect(directory.isOpen("e1")).to.equal(false);
  });

  it("keeps entries that lapse with the store until they had time to return", async () => {
    const { clock, directory, kinds } = createDirectory();
    directory.update(buildEndpoint("e1"));
    directory.update(buildEndpoint("e2"));
    directory.noteStoreLost();
    directory.remove("e1");
    directory.remove("e2");
    await clock.advance(10_000);
    directory.removeLapsed();
    expect(directory.isOpen("e1")).to.equal(true);
    directory.noteStoreBack();
    directory.update(buildEndpoint("e1"));
    await clock.advance(2_200);
    directory.removeLapsed();
    expect(directory.isOpen("e1")).to.equal(true);
    expect(directory.isOpen("e2")).to.equal(false);
    expect(kinds.at(-1)).to.equal(DirectoryChangeKind.Removed);
  });

  it("tells a restart under the same id from news of the same process", () => {
    const { directory, kinds } = createDirectory();
    directory.update(buildEndpoint("e1"));
    directory.update(buildEndpoint("e1", { coldMilliseconds: 5 }));
    directory.update(buildEndpoint("e1", { startedAtUnixMilliseconds: 2 }));
    expect(kinds).to.deep.equal([
      DirectoryChangeKind.Started,
      DirectoryChangeKind.Updated,
      DirectoryChangeKind.Started,
    ]);
  });
});

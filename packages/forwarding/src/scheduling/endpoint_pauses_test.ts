import { createSilentLogger, ManualClock } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { EndpointDirectory } from "../state/endpoint_directory.ts";
import { buildEndpoint } from "../testing/fixtures.ts";
import { EndpointPauses } from "./endpoint_pauses.ts";

function createPauses() {
  const clock = new ManualClock();
  const logger = createSilentLogger();
  const directory = new EndpointDirectory({ clock, logger });
  const pauses = new EndpointPauses(
    { clock, logger, directory },
    new AbortController().signal,
  );
  directory.update(buildEndpoint("e1"));
  return { clock, directory, pauses };
}

function buildPause(milliseconds: number) {
  return { endpoint: "e1", service: "engines", milliseconds };
}

describe("EndpointPauses", () => {
  it("ends a pause when its time is over, and never before", async () => {
    const { clock, pauses } = createPauses();
    pauses.record(buildPause(1_000));
    await clock.advance(500);
    pauses.record(buildPause(100));
    pauses.record(buildPause(700));
    await clock.advance(600);
    expect(pauses.endpoints.has("e1")).to.equal(true);
    expect(pauses.computeRemaining("engines")).to.be.within(99, 100);
    expect(pauses.computeRemaining("other")).to.equal(0);
    await clock.advance(101);
    expect(pauses.endpoints.has("e1")).to.equal(false);
    expect(pauses.computeRemaining("engines")).to.equal(0);
  });

  it("does not pause a new process of the endpoint", async () => {
    const { clock, directory, pauses } = createPauses();
    pauses.record(buildPause(60_000));
    directory.update(buildEndpoint("e1"));
    directory.remove("e1");
    directory.update(buildEndpoint("e1"));
    expect(pauses.endpoints.has("e1")).to.equal(true);
    directory.update(buildEndpoint("e1", { startedAtUnixMilliseconds: 9 }));
    expect(pauses.endpoints.has("e1")).to.equal(false);
    await clock.advance(60_000);
  });
});

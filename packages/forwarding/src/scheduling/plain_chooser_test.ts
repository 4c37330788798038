import { ManualClock } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { buildCall, buildEndpoint } from "../testing/fixtures.ts";
import { type ChoiceRequest, NoRoomReason } from "./endpoint_chooser.ts";
import { EndpointState } from "./endpoint_state.ts";
import { ShareStanding } from "./share_meter.ts";
import { PlainChooser } from "./plain_chooser.ts";

const NO_WORK = { tokens: 0, pairs: 0 };

function createEndpoints(slots: number[]): EndpointState[] {
  const clock = new ManualClock();
  return slots.map((count, index) =>
    new EndpointState(buildEndpoint(`e${index}`, { slots: count }), clock)
  );
}

function buildRequest(avoid: string[] = []): ChoiceRequest {
  return {
    call: buildCall(0),
    avoid: new Set(avoid),
    remainingMilliseconds: 300,
    standing: ShareStanding.Low,
    spareFactor: 1,
  };
}

function findChosen(endpoints: EndpointState[], avoid: string[] = []) {
  const choice = new PlainChooser().choose(buildRequest(avoid), endpoints);
  return typeof choice === "object" ? choice.endpoint.record.id : choice;
}

describe("PlainChooser", () => {
  it("takes the endpoint with the least to do for its slots", () => {
    const endpoints = createEndpoints([2, 6]);
    endpoints.forEach((endpoint) => endpoint.addAttempt(NO_WORK));
    expect(findChosen(endpoints)).to.equal("e1");
  });

  it("leaves an endpoint that keeps failing, and one that failed before", () => {
    const endpoints = createEndpoints([6, 6]);
    for (let answer = 0; answer < 20; answer++) {
      endpoints[0]?.recordOutcome(true);
    }
    expect(findChosen(endpoints)).to.equal("e1");
    const sound = createEndpoints([6, 6]);
    expect(findChosen(sound, ["e0"])).to.equal("e1");
  });

  it("uses the endpoint that failed before where it is the only one", () => {
    expect(findChosen(createEndpoints([6]), ["e0"])).to.equal("e0");
  });

  it("says whether endpoints are busy or there are none", () => {
    const endpoints = createEndpoints([1]);
    endpoints[0]?.addAttempt(NO_WORK);
    endpoints[0]?.addAttempt(NO_WORK);
    expect(findChosen(endpoints)).to.equal(NoRoomReason.Busy);
    expect(findChosen([])).to.equal(NoRoomReason.NoEndpoint);
  });
});

import { ManualClock } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import {
  buildCall,
  buildEndpoint,
  buildPrompt,
  buildRoute,
} from "../testing/fixtures.ts";
import {
  type Choice,
  type ChoiceRequest,
  NoRoomReason,
} from "./endpoint_chooser.ts";
import { EndpointState } from "./endpoint_state.ts";
import { EngineChooser } from "./engine_chooser.ts";
import { PrefillModel } from "./prefill_model.ts";
import { ShareStanding } from "./share_meter.ts";

const TRAITS = { slots: 64, memoryTokens: 400_000 };
const MILLISECONDS_PER_TOKEN = 0.01;

function createWorld(engines = 6) {
  const clock = new ManualClock();
  const chooser = new EngineChooser(
    TRAITS,
    new PrefillModel(MILLISECONDS_PER_TOKEN),
  );
  const endpoints = Array.from(
    { length: engines },
    (_, index) => new EndpointState(buildEndpoint(`engine-${index}`), clock),
  );
  return { clock, chooser, endpoints };
}

function buildRequest(
  shared: string,
  tokens: number,
  changes: Partial<ChoiceRequest> = {},
): ChoiceRequest {
  return {
    call: buildCall(0, { prompt: buildPrompt(shared, tokens) }),
    avoid: new Set(),
    remainingMilliseconds: buildRoute().objectiveMilliseconds,
    standing: ShareStanding.Low,
    spareFactor: 1,
    ...changes,
  };
}

function pickChoice(choice: Choice | NoRoomReason): Choice {
  if (typeof choice !== "object") {
    throw new Error(`There was no room: ${choice}`);
  }
  return choice;
}

function findEndpoint(
  world: ReturnType<typeof createWorld>,
  request: ChoiceRequest,
): EndpointState {
  return pickChoice(world.chooser.choose(request, world.endpoints)).endpoint;
}

describe("EngineChooser", () => {
  it("keeps requests that share a part at one engine, and spreads parts", () => {
    const world = createWorld();
    const homes = new Set<string>();
    for (let part = 0; part < 40; part++) {
      const first = findEndpoint(world, buildRequest(`part-${part}`, 500));
      const second = findEndpoint(world, buildRequest(`part-${part}`, 900));
      expect(second).to.equal(first);
      homes.add(first.record.id);
    }
    expect(homes.size).to.be.at.least(3);
  });

  it("keeps long prompts away from the engines of short ones", () => {
    const world = createWorld();
    const short = new Set<string>();
    for (let part = 0; part < 40; part++) {
      const { record } = findEndpoint(world, buildRequest(`part-${part}`, 500));
      short.add(record.id);
    }
    for (const endpoint of world.endpoints) {
      for (let stream = 0; stream < 10; stream++) {
        endpoint.markAnswering(endpoint.addAttempt({ tokens: 0, pairs: 0 }));
      }
    }
    const long = findEndpoint(world, buildRequest("part-1", 30_000));
    expect(short.has(long.record.id)).to.equal(false);
  });

  it("leaves a home that has so much to read that streams would pause", () => {
    const world = createWorld();
    const request = buildRequest("part-1", 500, { remainingMilliseconds: 100 });
    const home = findEndpoint(world, request);
    home.markAnswering(home.addAttempt({ tokens: 0, pairs: 0 }));
    home.addAttempt({ tokens: 40_000, pairs: 200 });
    expect(findEndpoint(world, request)).to.not.equal(home);
  });

  it("waits a while for the home rather than have a large part read again", () => {
    const world = createWorld();
    const request = buildRequest("part-1", 500);
    const home = findEndpoint(world, request);
    home.markAnswering(home.addAttempt({ tokens: 0, pairs: 0 }));
    home.addAttempt({ tokens: 24_000, pairs: 0 });
    expect(world.chooser.choose(request, world.endpoints))
      .to.equal(NoRoomReason.Busy);
  });

  it("counts what peers read at an engine", () => {
    const world = createWorld();
    const request = buildRequest("part-1", 500, { remainingMilliseconds: 100 });
    const home = findEndpoint(world, request);
    home.mergePeer("vm-2", {
      endpoint: home.record.id,
      running: 3,
      prefillTokens: 60_000,
      recentTokens: 60_000,
    });
    expect(findEndpoint(world, request)).to.not.equal(home);
  });

  it("lets who is over its share use lightly loaded engines only", () => {
    const world = createWorld();
    for (const endpoint of world.endpoints) {
      endpoint.mergePeer("vm-2", {
        endpoint: endpoint.record.id,
        running: 40,
        prefillTokens: 0,
        recentTokens: 0,
      });
    }
    const spare = buildRequest("part-1", 500, {
      standing: ShareStanding.Over,
    });
    expect(world.chooser.choose(spare, world.endpoints))
      .to.equal(NoRoomReason.Busy);
    const owed = buildRequest("part-1", 500);
    expect(typeof world.chooser.choose(owed, world.endpoints))
      .to.equal("object");
  });

  it("gives less room to who has had more than others over their share", () => {
    const world = createWorld();
    for (const endpoint of world.endpoints) {
      endpoint.mergePeer("vm-2", {
        endpoint: endpoint.record.id,
        running: 30,
        prefillTokens: 0,
        recentTokens: 0,
      });
    }
    const choose = (standing: ShareStanding) =>
      world.chooser.choose(
        buildRequest("part-1", 500, { standing }),
        world.endpoints,
      );
    expect(typeof choose(ShareStanding.Over)).to.equal("object");
    expect(choose(ShareStanding.FarOver)).to.equal(NoRoomReason.Busy);
  });

  it("has no shared part read again for who is over its share", () => {
    const world = createWorld();
    const request = buildRequest("part-1", 500, {
      standing: ShareStanding.Over,
    });
    const home = findEndpoint(world, request);
    home.mergePeer("vm-2", {
      endpoint: home.record.id,
      running: 40,
      prefillTokens: 0,
      recentTokens: 0,
    });
    expect(world.chooser.choose(request, world.endpoints))
      .to.equal(NoRoomReason.Busy);
    const owed = { ...request, standing: ShareStanding.Low };
    expect(typeof world.chooser.choose(owed, world.endpoints))
      .to.equal("object");
  });

  it("has no more read in a pause's time than running streams bear", async () => {
    const world = createWorld(1);
    const [engine] = world.endpoints as [EndpointState];
    engine.markAnswering(engine.addAttempt({ tokens: 0, pairs: 0 }));
    const { pauseMilliseconds } = buildRoute();
    const request = buildRequest("part-1", 4_000);
    let readTokens = 0;
    const STEP_MILLISECONDS = 10;
    for (let time = 0; time < pauseMilliseconds; time += STEP_MILLISECONDS) {
      const choice = world.chooser.choose(request, world.endpoints);
      if (typeof choice === "object") {
        // It is read and answered before the next one comes.
        const attempt = engine.addAttempt(choice.work);
        engine.markAnswering(attempt);
        engine.removeAttempt(attempt);
        readTokens += choice.work.tokens;
      }
      await world.clock.advance(STEP_MILLISECONDS);
    }
    expect(readTokens).to.be.greaterThan(0);
    expect(readTokens * MILLISECONDS_PER_TOKEN)
      .to.be.at.most(pauseMilliseconds * 0.75);
  });

  it("avoids an engine that failed the request", () => {
    const world = createWorld();
    const home = findEndpoint(world, buildRequest("part-1", 500));
    const again = buildRequest("part-1", 500, {
      avoid: new Set([home.record.id]),
    });
    expect(findEndpoint(world, again)).to.not.equal(home);
  });
});

import { ManualClock } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { buildEndpoint } from "../testing/fixtures.ts";
import { EndpointState } from "./endpoint_state.ts";
import { EngineGrouping } from "./engine_grouping.ts";
import { LongPromptDemand } from "./long_prompt_demand.ts";

const MIN_FRACTION = 0.17;

function createEngines(count: number): EndpointState[] {
  const clock = new ManualClock();
  return Array.from(
    { length: count },
    (_, index) => new EndpointState(buildEndpoint(`engine-${index}`), clock),
  );
}

describe("LongPromptDemand", () => {
  it("follows the part of the prefill time that long prompts ask for", async () => {
    const clock = new ManualClock();
    const demand = new LongPromptDemand(clock);
    expect(demand.engineFraction).to.equal(0);
    demand.record(4_000, false);
    expect(demand.engineFraction).to.equal(0);
    demand.record(4_000, true);
    const { engineFraction } = demand;
    expect(engineFraction).to.be.within(0.1, 0.3);
    demand.record(8_000, true);
    expect(demand.engineFraction).to.be.greaterThan(engineFraction);
    await clock.advance(5_000);
    expect(demand.engineFraction).to.equal(0);
  });

  it("leaves most engines to other prompts, however many are long", () => {
    const demand = new LongPromptDemand(new ManualClock());
    demand.record(60_000, true);
    expect(demand.engineFraction).to.be.at.most(0.4);
  });
});

describe("EngineGrouping", () => {
  it("gives long prompts more engines while they ask for more, beside those they had", () => {
    const engines = createEngines(42);
    const grouping = new EngineGrouping(MIN_FRACTION);
    const few = grouping.find(engines, 0).long;
    const many = grouping.find(engines, 0.3).long;
    expect(few.size).to.equal(7);
    expect(many.size).to.equal(12);
    for (const engine of few) {
      expect(many.has(engine)).to.equal(true);
    }
    expect(grouping.find(engines, 0).long.size).to.equal(7);
  });

  it("keeps the division while the demand varies by less than an engine", () => {
    const engines = createEngines(42);
    const grouping = new EngineGrouping(MIN_FRACTION);
    const { long } = grouping.find(engines, 10.1 / 42);
    for (const demanded of [9.9, 10.2, 9.6, 10.9]) {
      expect(grouping.find(engines, demanded / 42).long).to.equal(long);
    }
  });

  it("divides fewer than four engines for no demand", () => {
    const grouping = new EngineGrouping(MIN_FRACTION);
    expect(grouping.find(createEngines(3), 0.4).long.size).to.equal(0);
  });
});

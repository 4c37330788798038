import { hashText, ManualClock, RandomSource } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { buildCall, buildEndpoint, buildPrompt } from "../testing/fixtures.ts";
import type { Choice, EndpointChooser } from "./endpoint_chooser.ts";
import { EndpointState, type LocalAttempt } from "./endpoint_state.ts";
import { EngineChooser } from "./engine_chooser.ts";
import { PlainChooser } from "./plain_chooser.ts";
import { PrefillModel } from "./prefill_model.ts";
import { ShareUsage } from "./share_meter.ts";

const SEED = 49;
const ENDPOINTS = 12;
const SLOTS = 8;
const REQUESTS = 3_000;
const MODEL = new PrefillModel(0.01);

interface Running {
  choice: Choice;
  attempt: LocalAttempt;
  endsAt: number;
}

/** Plays requests against endpoints that tell nothing of their speed. */
async function collectChoices(chooser: EndpointChooser): Promise<string[]> {
  const clock = new ManualClock();
  const random = new RandomSource(SEED);
  const endpoints = Array.from(
    { length: ENDPOINTS },
    (_, index) =>
      new EndpointState(buildEndpoint(`e${index}`, { slots: SLOTS }), clock),
  );
  const choices: string[] = [];
  let running: Running[] = [];
  for (let index = 0; index < REQUESTS; index++) {
    await clock.advance(random.nextInteger(1, 8));
    const ended = running.filter(({ endsAt }) => endsAt <= clock.now());
    running = running.filter(({ endsAt }) => endsAt > clock.now());
    for (const { choice: { endpoint }, attempt } of ended) {
      endpoint.markResponding(attempt);
      endpoint.recordPace(random.nextInteger(5, 25) / 10);
      endpoint.recordOutcome(random.nextInteger(0, 9) === 0);
      endpoint.removeAttempt(attempt);
    }
    const peer = endpoints[random.nextInteger(0, ENDPOINTS - 1)];
    peer?.mergePeer("peer", {
      endpoint: peer.record.id,
      running: random.nextInteger(0, SLOTS),
      prefillTokens: random.nextInteger(0, 9_000),
      recentTokens: random.nextInteger(0, 9_000),
    });
    const prompt = buildPrompt(`part-${index % 5}`, 200 + (index % 7) * 900);
    const choice = chooser.choose({
      call: buildCall(clock.now(), { prompt }),
      avoid: new Set(),
      excluded: new Set(),
      remainingMilliseconds: 400,
      shareUsage: ShareUsage.Low,
      spareCapacityFactor: 1,
    }, [...endpoints]);
    choices.push(
      typeof choice === "object" ? choice.endpoint.record.id : choice,
    );
    if (typeof choice === "object") {
      const { endpoint, work } = choice;
      endpoint.cache.record(prompt, { memoryTokens: 30_000 });
      const attempt = endpoint.addAttempt(work);
      const endsAt = clock.now() + random.nextInteger(20, 400);
      running.push({ choice, attempt, endsAt });
    }
  }
  return choices;
}

/** The digests were recorded before endpoints could report their speed. */
describe("choosers of endpoints that report no speed", () => {
  it("PlainChooser chooses as recorded", async () => {
    const choices = await collectChoices(new PlainChooser(new RandomSource(1)));
    expect(hashText(choices.join())).to.equal(426_987_458);
  });

  it("EngineChooser chooses as recorded", async () => {
    const chooser = new EngineChooser(
      { slots: SLOTS, memoryTokens: 30_000 },
      MODEL,
    );
    const choices = await collectChoices(chooser);
    expect(new Set(choices).size).to.be.greaterThan(ENDPOINTS / 2);
    expect(hashText(choices.join())).to.equal(1_264_321_232);
  });
});

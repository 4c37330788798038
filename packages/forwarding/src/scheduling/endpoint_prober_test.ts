import {
  createSilentLogger,
  ManualClock,
  RandomSource,
} from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { buildEndpoint, buildService } from "../testing/fixtures.ts";
import { EndpointProber } from "./endpoint_prober.ts";
import { PlainChooser } from "./plain_chooser.ts";
import { ServiceScheduler } from "./service_scheduler.ts";
import { ShareMeter } from "./share_meter.ts";

describe("EndpointProber", () => {
  it("asks endpoints that are down, and no others, until they are back", async () => {
    const clock = new ManualClock();
    const scheduler = new ServiceScheduler({
      service: buildService({ engine: undefined }),
      chooser: new PlainChooser(),
      shares: new ShareMeter({ clock, periodMilliseconds: 4_000 }),
      clock,
      random: new RandomSource(1),
      logger: createSilentLogger(),
      tellPeers: () => {},
      coldBound: { coldMilliseconds: 3_000, arrivalsPerSecond: 30 },
      countVms: () => 1,
    });
    const down = scheduler.updateEndpoint(buildEndpoint("down"), true);
    scheduler.updateEndpoint(buildEndpoint("up"), true);
    down.cold.markDown();
    const asked: string[] = [];
    let isWell = false;
    const ending = new AbortController();
    const prober = new EndpointProber({
      clock,
      logger: createSilentLogger(),
      listServices: () => [{ scheduler, healthPath: "/healthz" }],
      askHealth: ({ record }) => {
        asked.push(record.id);
        return Promise.resolve(isWell);
      },
    });
    const running = prober.run(ending.signal);
    await clock.advance(1_000);
    expect(down.cold.isDown).to.equal(true);
    isWell = true;
    await clock.advance(1_000);
    expect(down.cold.isDown).to.equal(false);
    expect(down.cold.isCold).to.equal(true);
    const count = asked.length;
    await clock.advance(2_000);
    expect(asked).to.have.lengthOf(count);
    expect(new Set(asked)).to.deep.equal(new Set(["down"]));
    ending.abort();
    await clock.advance(1_000);
    await running;
  });
});

import {
  createLifetime,
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
  it("probes only endpoints that are down, until they respond", async () => {
    const clock = new ManualClock();
    const scheduler = new ServiceScheduler({
      service: buildService({ engine: undefined }),
      chooser: new PlainChooser(),
      shares: new ShareMeter({ clock, periodMilliseconds: 4_000 }),
      clock,
      random: new RandomSource(1),
      logger: createSilentLogger(),
      notifyPeers: () => {},
      coldBound: { coldMilliseconds: 3_000, arrivalsPerSecond: 30 },
      countVms: () => 1,
      signal: createLifetime().signal,
    });
    const down = scheduler.updateEndpoint(buildEndpoint("down"), true);
    scheduler.updateEndpoint(buildEndpoint("up"), true);
    down.coldStart.markDown();
    const probed: string[] = [];
    let isHealthy = false;
    const lifetime = new AbortController();
    const prober = new EndpointProber({
      clock,
      logger: createSilentLogger(),
      isScheduler: () => true,
      listServices: () => [{ scheduler, healthPath: "/healthz" }],
      checkHealth: ({ record }) => {
        probed.push(record.id);
        return Promise.resolve(isHealthy);
      },
    });
    const running = prober.run(lifetime.signal);
    await clock.advance(1_000);
    expect(down.coldStart.isDown).to.equal(true);
    isHealthy = true;
    await clock.advance(1_000);
    expect(down.coldStart.isDown).to.equal(false);
    expect(down.coldStart.isCold).to.equal(true);
    const count = probed.length;
    await clock.advance(2_000);
    expect(probed).to.have.lengthOf(count);
    expect(new Set(probed)).to.deep.equal(new Set(["down"]));
    lifetime.abort();
    await clock.advance(1_000);
    await running;
  });
});

import { existsSync, readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import { parseSettings } from "@rattanvane/settings";
import { BenchError } from "../common/bench_error.ts";
import { JsonClient } from "../common/json_client.ts";
import { waitUntil } from "../common/wait.ts";
import { type Fleet, startFleet } from "./fleet.ts";
import type { FleetOptions } from "./fleet_options.ts";
import type { FleetRouter } from "./fleet_router.ts";

const STUB_ROUTER = fileURLToPath(
  new URL("../testing/stub_router.js", import.meta.url),
);

let end: AbortController;

beforeEach(() => {
  end = new AbortController();
});

afterEach(() => end.abort());

async function startSmallFleet(
  changes: Partial<FleetOptions> = {},
): Promise<Fleet> {
  return await startFleet({
    zones: ["zone-a", "zone-b"],
    routersPerZone: 1,
    enginesPerZone: 1,
    routerProgram: STUB_ROUTER,
    ...changes,
  }, end.signal);
}

/** Lets a stub router connect to a port; returns how that went. */
async function connectFrom(
  router: FleetRouter,
  target: { host: string; controlPort: number },
): Promise<string> {
  const url = `http://${target.host}:${target.controlPort}`;
  const client = new JsonClient(router.callerUrl);
  const answer = await client.read<{ outcome: string }>(`/?dial=${url}`);
  return answer.outcome;
}

/** The address that the first router knows the second by. */
function readPeer(
  fleet: Fleet,
  vm: string,
): { host: string; controlPort: number } {
  const asker = fleet.parts.routers.find((router) => router.vm !== vm);
  const settings = parseSettings(
    readFileSync(asker?.settingsFile ?? "", "utf8"),
    "settings.yaml",
  )._unsafeUnwrap();
  const peer = settings.peers.find((each) => each.vm === vm);
  return peer ?? { host: "", controlPort: 0 };
}

describe("local fleet", () => {
  it("starts every process, configured, and leaves nothing behind", async () => {
    const fleet = await startSmallFleet();
    const { parts } = fleet;
    const processes = [
      parts.platform,
      ...parts.engines,
      ...parts.plainServices,
      ...parts.routers,
    ].map((part) => part.process);
    expect(processes).to.have.length(7);
    expect(processes.every((process) => process.isRunning)).to.equal(true);
    const list = await new JsonClient(parts.platform.url).read<
      { rows: { key: string }[] }
    >("/table/rows?prefix=configuration/");
    expect(list.rows).not.to.have.length(0);
    await fleet.stop();
    expect(processes.some((process) => process.isRunning)).to.equal(false);
    expect(existsSync(parts.folder)).to.equal(false);
  });

  it("writes settings that the router's schema accepts", async () => {
    const fleet = await startSmallFleet();
    for (const router of fleet.parts.routers) {
      const text = readFileSync(router.settingsFile, "utf8");
      const settings = parseSettings(text, "settings.yaml");
      expect(settings.isOk(), router.vm).to.equal(true);
    }
  });

  it("captures the routers' log lines over restarts", async () => {
    const fleet = await startSmallFleet();
    const router = fleet.router("vm-a1");
    await router.restart();
    await connectFrom(router, { host: "127.0.0.1", controlPort: 1 });
    await waitUntil(
      () =>
        router.findLogLines({ fields: { outcome: "ECONNREFUSED" } }).length ===
          1,
      { until: "the line is captured", timeoutMilliseconds: 5000 },
      end.signal,
    );
    const ready = router.findLogLines({
      sentence: "served",
      fields: { outcome: "ready" },
    });
    expect(ready.length).to.be.at.least(2);
  });

  it("tells a process's last words when it does not start", async () => {
    const failure = await startSmallFleet({ routerProgram: "no-such-file.js" })
      .then(() => undefined, (error) => error);
    expect(failure).to.be.instanceOf(BenchError);
    expect(failure.message).to.include("no-such-file.js");
  });

  it("cuts zones that look at one advertised address", async () => {
    const fleet = await startSmallFleet({
      zones: ["zone-a", "zone-b", "zone-c"],
      proxied: true,
    });
    const target = readPeer(fleet, "vm-b1");
    const reachB = (vm: string) => connectFrom(fleet.router(vm), target);
    expect(await reachB("vm-a1")).to.equal("vm-b1");
    await fleet.parts.network.cutZones("zone-a", "zone-b");
    expect(await reachB("vm-a1")).to.equal("ECONNRESET");
    expect(await reachB("vm-c1")).to.equal("vm-b1");
    await fleet.parts.network.heal();
    expect(await reachB("vm-a1")).to.equal("vm-b1");
    expect(await fleet.parts.network.findUnknownSources())
      .to.deep.equal([]);
  });
});

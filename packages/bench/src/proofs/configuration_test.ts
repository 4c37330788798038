import { createLifetime } from "@rattanvane/base";
import { OperationKind } from "@rattanvane/configuration";
import { expect } from "chai";
import { after, afterEach, before, describe, it } from "mocha";
import { request } from "undici";
import { type ProofFleet, startProofFleet } from "./proof_fleet.ts";

/** An accepted change is in force on every VM after this time. */
const IN_FORCE_MILLISECONDS = 4_000;

describe("an accepted configuration, on every VM", () => {
  const end = createLifetime();
  let proof: ProofFleet;

  before(async () => {
    proof = await startProofFleet({}, end.signal);
  });

  after(async () => {
    await proof?.stop();
    end.abort();
  });

  afterEach(() => proof.settle());

  /** The version that a VM says is in force there. */
  async function readVersion(vm: string): Promise<number> {
    const { fleet, dispatcher, signal } = proof;
    const { operatorKey } = fleet.parts.options;
    const answer = await request(`${fleet.router(vm).callerUrl}/status`, {
      headers: { authorization: `Bearer ${operatorKey}` },
      dispatcher,
      signal,
    });
    const status = await answer.body.json() as { configurationVersion: number };
    return status.configurationVersion;
  }

  async function listVersions(): Promise<number[]> {
    const { routers } = proof.fleet.parts;
    return await Promise.all(routers.map(({ vm }) => readVersion(vm)));
  }

  async function addChange(weight: number): Promise<number> {
    const change = await proof.fleet.parts.configurator.append([{
      kind: OperationKind.PutOrganisation,
      organisation: {
        name: "added",
        weight,
        keyHashes: [],
        services: [],
        queueLimit: 10,
      },
    }]);
    return change.version;
  }

  it("is in force within 4 s and stays when a VM restarts empty", async () => {
    const version = await addChange(2);
    await proof.pause(IN_FORCE_MILLISECONDS);
    expect(new Set(await listVersions())).to.deep.equal(new Set([version]));
    await proof.fleet.parts.platform.applyFaults({ outage: true });
    const restarted = proof.fleet.router("vm-a1");
    await restarted.process.kill();
    restarted.start();
    await restarted.waitUntilReady();
    expect(await readVersion("vm-a1")).to.equal(version);
  });

  it("reaches a zone that was cut off, and never goes back", async () => {
    const before = await addChange(3);
    await proof.pause(IN_FORCE_MILLISECONDS);
    await proof.fleet.parts.network.cutOffZone("zone-b");
    const accepted = await addChange(4);
    await proof.pause(IN_FORCE_MILLISECONDS);
    expect(await readVersion("vm-a1")).to.equal(accepted);
    expect(await readVersion("vm-b1")).to.equal(before);
    await proof.settle();
    await proof.wait("every VM has the change", async () => {
      const versions = await listVersions();
      versions.forEach((version) => expect(version).to.be.at.least(before));
      return versions.every((version) => version === accepted);
    });
  });
});

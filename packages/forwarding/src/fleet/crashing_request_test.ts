import { expect } from "chai";
import { describe, it } from "mocha";
import type { AttemptGrant } from "../admission/admission.ts";
import { OutcomeKind } from "../model/attempt_outcome.ts";
import { RefusalKind } from "../scheduling/refusal.ts";
import { buildCall, buildEndpoint } from "../testing/fixtures.ts";
import {
  SimulatedFleet,
  type SimulatedVm,
} from "../testing/simulated_fleet.ts";

const VMS = 6;
const ENDPOINTS = 3;
const SEED = 4;
const STARTUP_MILLISECONDS = 3_000;
/** VMs in touch know of a crash after this time. */
const CONTACT_MILLISECONDS = 3_000;
/** Time until another process has started at a crashed endpoint's address. */
const RESTART_MILLISECONDS = 1_500;

function buildReport(kind: OutcomeKind) {
  return {
    kind,
    isConnectionRefused: kind === OutcomeKind.NotSent,
    firstMilliseconds: undefined,
    longestPauseMilliseconds: 0,
  };
}

async function sendToAny(vm: SimulatedVm, fingerprint: string) {
  return await vm.fleet.admission.submit({
    call: buildCall(vm.clock.now(), { fingerprint }),
    avoid: new Set(),
    excluded: new Set(),
    isRepeated: false,
  }, vm.lifetime.signal);
}

/** Submits a request that may only go to this endpoint. */
async function sendTo(
  vm: SimulatedVm,
  endpoint: string,
  fingerprint: string,
): Promise<AttemptGrant> {
  const avoid = new Set(
    [...vm.state.directory.listService("engines")].map(({ id }) => id)
      .filter((id) => id !== endpoint),
  );
  const { grant } = await vm.fleet.admission.submit({
    call: buildCall(vm.clock.now(), { fingerprint }),
    avoid,
    excluded: avoid,
    isRepeated: false,
  }, vm.lifetime.signal);
  return grant as AttemptGrant;
}

async function startFleet() {
  const fleet = new SimulatedFleet({
    seed: SEED,
    zones: 3,
    endpoints: ENDPOINTS,
  });
  await fleet.startAll(VMS);
  await fleet.clock.advance(STARTUP_MILLISECONDS);
  return { fleet, vms: [...fleet.vms.values()] };
}

/** Lists the VMs that still admit a request with this fingerprint. */
async function listAdmitting(vms: SimulatedVm[], fingerprint: string) {
  const admitting: string[] = [];
  for (const vm of vms) {
    const { refusal, grant } = await sendToAny(vm, fingerprint);
    grant?.recordEnd(buildReport(OutcomeKind.Stopped));
    if (refusal?.kind !== RefusalKind.Quarantined) {
      admitting.push(vm.contact.vm);
    }
  }
  return admitting;
}

/** Starts another process, with another id, at the address of an endpoint. */
function startReplacement(fleet: SimulatedFleet, index: number): void {
  const id = `endpoint-${index}-replacement`;
  fleet.store.put(
    "endpoints",
    id,
    buildEndpoint(id, {
      zone: `zone-${index}`,
      port: index + 1,
      startedAtUnixMilliseconds: fleet.clock.wallTime(),
    }),
  );
}

describe("a request that crashes each endpoint that runs it", () => {
  // Each VM that lost the request left it at that, since a peer had met the
  // refused connection.
  it("is refused by all VMs when other VMs found the endpoints down", async () => {
    const { fleet, vms } = await startFleet();
    for (let index = 0; index < ENDPOINTS; index++) {
      const endpoint = `endpoint-${index}`;
      const crashing = await sendTo(
        vms[index] as SimulatedVm,
        endpoint,
        "crashing",
      );
      const other = vms[index + ENDPOINTS] as SimulatedVm;
      const refused = await sendTo(other, endpoint, `other-${index}`);
      crashing.recordEnd(buildReport(OutcomeKind.Broken));
      await fleet.clock.advance(100);
      refused.recordEnd(buildReport(OutcomeKind.NotSent));
      await fleet.clock.advance(100);
    }
    await fleet.clock.advance(CONTACT_MILLISECONDS);
    expect(await listAdmitting(vms, "crashing")).to.deep.equal([]);
    fleet.stop();
  });

  // The crash was looked for under the id of the process that had ended.
  it("is refused by all VMs when the endpoints return under other ids", async () => {
    const { fleet, vms } = await startFleet();
    for (let index = 0; index < ENDPOINTS; index++) {
      const crashing = await sendTo(
        vms[index] as SimulatedVm,
        `endpoint-${index}`,
        "crashing",
      );
      crashing.recordEnd(buildReport(OutcomeKind.Broken));
      await fleet.clock.advance(RESTART_MILLISECONDS);
      startReplacement(fleet, index);
    }
    await fleet.clock.advance(CONTACT_MILLISECONDS);
    expect(await listAdmitting(vms, "crashing")).to.deep.equal([]);
    fleet.stop();
  });

  it("is refused by all VMs when other processes answer at the addresses", async () => {
    const { fleet, vms } = await startFleet();
    for (let index = 0; index < ENDPOINTS; index++) {
      const vm = vms[index] as SimulatedVm;
      const endpoint = `endpoint-${index}`;
      const crashing = await sendTo(vm, endpoint, "crashing");
      const other = await sendTo(vm, endpoint, `other-${index}`);
      crashing.recordEnd(buildReport(OutcomeKind.Broken));
      await fleet.clock.advance(100);
      other.recordEnd(buildReport(OutcomeKind.WrongInstance));
    }
    await fleet.clock.advance(CONTACT_MILLISECONDS);
    expect(await listAdmitting(vms, "crashing")).to.deep.equal([]);
    fleet.stop();
  });

  it("is served on when its connections were only reset", async () => {
    const { fleet, vms } = await startFleet();
    for (let index = 0; index < ENDPOINTS; index++) {
      const vm = vms[index] as SimulatedVm;
      const lost = await sendTo(vm, `endpoint-${index}`, "reset");
      lost.recordEnd(buildReport(OutcomeKind.Broken));
      await fleet.clock.advance(500);
    }
    await fleet.clock.advance(CONTACT_MILLISECONDS);
    expect(await listAdmitting(vms, "reset")).to.have.lengthOf(VMS);
    fleet.stop();
  });

  it("is served on when an endpoint went down before it was sent there", async () => {
    const { fleet, vms } = await startFleet();
    const [first, second] = vms as [SimulatedVm, SimulatedVm];
    for (let index = 0; index < ENDPOINTS; index++) {
      const endpoint = `endpoint-${index}`;
      const refused = await sendTo(second, endpoint, "other");
      refused.recordEnd(buildReport(OutcomeKind.NotSent));
      const answered = await sendTo(first, endpoint, "answered");
      await fleet.clock.advance(10);
      const lost = await sendTo(first, endpoint, "reset");
      answered.recordEnd(buildReport(OutcomeKind.Answered));
      lost.recordEnd(buildReport(OutcomeKind.Broken));
      await fleet.clock.advance(500);
    }
    await fleet.clock.advance(CONTACT_MILLISECONDS);
    expect(await listAdmitting(vms, "reset")).to.have.lengthOf(VMS);
    fleet.stop();
  });
});

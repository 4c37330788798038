/** Measures and prints detection times and control traffic. */

import process from "node:process";
import { encodeMessage, type Message } from "@rattanvane/protocol";
import { MembershipChangeKind } from "../zone_view.ts";
import { listLiveNames, TestFleet, type TestVm } from "./test_fleet.ts";

const LOSS_FRACTION = 0.01;
const SETTLE_MILLISECONDS = 10_000;
const IDLE_MILLISECONDS = 60_000;
const MEASURED_MILLISECONDS = 30_000;
const MINIMUM_HANDLING_MILLISECONDS = 100;
const OVERLOAD_MILLISECONDS = 10_000;
const STEP_MILLISECONDS = 20;
const MAXIMUM_DETECTION_MILLISECONDS = 20_000;
const RECOVERY_MILLISECONDS = 500;

/** Measures the traffic that VMs send in a zone without changes. */
async function measureTraffic(count: number, seed: number): Promise<void> {
  const fleet = new TestFleet({
    seed,
    lossFraction: LOSS_FRACTION,
    measureBytes: measureSize,
  });
  const vms = fleet.startZone(count);
  await fleet.clock.advance(IDLE_MILLISECONDS);
  const before = vms.map((vm) => fleet.network.countTraffic(vm.contact.vm));
  const cpuBefore = process.cpuUsage();
  await fleet.clock.advance(MEASURED_MILLISECONDS);
  const cpu = process.cpuUsage(cpuBefore);
  const seconds = MEASURED_MILLISECONDS / 1_000;
  const rates = vms.map((vm, index) => {
    const after = fleet.network.countTraffic(vm.contact.vm);
    const start = before[index] ?? { messages: 0, bytes: 0 };
    return {
      messages: (after.messages - start.messages) / seconds,
      bytes: (after.bytes - start.bytes) / seconds,
    };
  });
  const load = (cpu.user + cpu.system) / 1_000 / MEASURED_MILLISECONDS / count;
  console.log(
    `${count} VMs: sent per VM ${
      format(computeAverage(rates, "messages"))
    } messages/s, ` +
      `${format(computeAverage(rates, "bytes"))} bytes/s, ` +
      `largest ${
        format(Math.max(...rates.map((rate) => rate.bytes)))
      } bytes/s; ` +
      `CPU ${(load * 100).toFixed(2)} % of a core with the in-memory network`,
  );
  fleet.stop();
}

/**
 * Measures how long the other VMs take to remove killed VMs from their lists.
 */
async function measureDetection(
  count: number,
  options: { seed: number; killed: number; rounds: number },
): Promise<void> {
  const all: number[] = [];
  const first: number[] = [];
  for (let round = 0; round < options.rounds; round++) {
    const fleet = new TestFleet({
      seed: options.seed + round,
      lossFraction: LOSS_FRACTION,
    });
    const vms = fleet.startZone(count);
    await fleet.clock.advance(
      SETTLE_MILLISECONDS + fleet.random.nextInteger(0, 999),
    );
    const victims = fleet.random.shuffle(vms).slice(0, options.killed);
    victims.forEach((victim) => fleet.kill(victim));
    await collectDetection(fleet, victims, { first, all });
    fleet.stop();
  }
  console.log(
    `${count} VMs, ${options.killed} killed, ${options.rounds} rounds: ` +
      `first ${describeTimes(first)}; all ${describeTimes(all)}`,
  );
}

async function collectDetection(
  fleet: TestFleet,
  victims: readonly TestVm[],
  times: { first: number[]; all: number[] },
): Promise<void> {
  const killed = victims.map((victim) => victim.contact.vm);
  const firstSeen = new Set<string>();
  const allSeen = new Set<string>();
  let elapsed = 0;
  while (
    allSeen.size < killed.length && elapsed < MAXIMUM_DETECTION_MILLISECONDS
  ) {
    await fleet.clock.advance(STEP_MILLISECONDS);
    elapsed += STEP_MILLISECONDS;
    const lists = [...fleet.vms.values()].map((vm) =>
      new Set(listLiveNames(vm))
    );
    for (const vm of killed) {
      const dropped = lists.filter((list) => !list.has(vm)).length;
      if (dropped > 0 && !firstSeen.has(vm)) {
        firstSeen.add(vm);
        times.first.push(elapsed);
      }
      if (dropped === lists.length && !allSeen.has(vm)) {
        allSeen.add(vm);
        times.all.push(elapsed);
      }
    }
  }
  for (let index = allSeen.size; index < killed.length; index++) {
    times.all.push(Infinity);
  }
  await fleet.clock.advance(RECOVERY_MILLISECONDS);
}

/** Measures how long VMs that start together take to discover each other. */
async function measureStart(count: number, seed: number): Promise<void> {
  const fleet = new TestFleet({
    seed,
    lossFraction: LOSS_FRACTION,
    measureBytes: measureSize,
  });
  const vms = fleet.startZone(count);
  let elapsed = 0;
  while (vms.some((vm) => listLiveNames(vm).length < count)) {
    await fleet.clock.advance(STEP_MILLISECONDS);
    elapsed += STEP_MILLISECONDS;
  }
  const sent = vms.map((vm) => fleet.network.countTraffic(vm.contact.vm).bytes);
  const sum = sent.reduce((total, bytes) => total + bytes, 0);
  console.log(
    `${count} VMs started together: all known after ${elapsed} ms; sent per ` +
      `VM ${format(sum / count)} bytes, largest ${Math.max(...sent)} bytes`,
  );
  fleet.stop();
}

/** Measures a zone in which half of the VMs are slow to handle messages. */
async function measureOverload(
  count: number,
  options: { seed: number; maximumMilliseconds: number },
): Promise<void> {
  const fleet = new TestFleet({
    seed: options.seed,
    lossFraction: LOSS_FRACTION,
    measureBytes: measureSize,
  });
  const vms = fleet.startZone(count);
  await fleet.clock.advance(SETTLE_MILLISECONDS);
  const counts = { suspected: 0, died: 0 };
  for (const { membership, stop } of vms) {
    membership.changes.listen(({ kind }) => {
      counts.suspected += kind === MembershipChangeKind.Suspected ? 1 : 0;
      counts.died += kind === MembershipChangeKind.Died ? 1 : 0;
    }, stop.signal);
  }
  for (const vm of vms.slice(0, count / 2)) {
    const handling = fleet.random.nextInteger(
      MINIMUM_HANDLING_MILLISECONDS,
      options.maximumMilliseconds,
    );
    fleet.setHandlingTime(vm, handling);
  }
  await fleet.clock.advance(SETTLE_MILLISECONDS);
  const before = sumBytes(fleet, vms);
  await fleet.clock.advance(OVERLOAD_MILLISECONDS);
  const rate = (sumBytes(fleet, vms) - before) / count /
    (OVERLOAD_MILLISECONDS / 1_000);
  console.log(
    `${count} VMs, half of them slow by up to ` +
      `${options.maximumMilliseconds} ms: sent per VM ${
        format(rate)
      } bytes/s; ` +
      `${counts.suspected} suspicions emitted, ${counts.died} deaths`,
  );
  fleet.stop();
}

function sumBytes(fleet: TestFleet, vms: readonly TestVm[]): number {
  return vms.reduce(
    (sum, vm) => sum + fleet.network.countTraffic(vm.contact.vm).bytes,
    0,
  );
}

function measureSize(message: Message): number {
  return encodeMessage(message).length;
}

function computeAverage(
  rates: readonly { messages: number; bytes: number }[],
  key: "messages" | "bytes",
): number {
  return rates.reduce((sum, rate) => sum + rate[key], 0) / rates.length;
}

function format(value: number): string {
  return value.toFixed(1);
}

function describeTimes(times: readonly number[]): string {
  const sorted = [...times].sort((first, second) => first - second);
  const at = (share: number): number =>
    sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
  return `median ${at(0.5)} ms, 99 % ${at(0.99)} ms, largest ${at(1)} ms`;
}

const seed = Number(process.argv[2] ?? 1);
for (const count of [2, 4, 20, 84]) {
  await measureTraffic(count, seed);
}
await measureStart(4, seed);
await measureStart(84, seed);
await measureOverload(84, { seed, maximumMilliseconds: 300 });
await measureOverload(84, { seed, maximumMilliseconds: 900 });
await measureDetection(2, { seed, killed: 1, rounds: 100 });
await measureDetection(4, { seed, killed: 1, rounds: 100 });
await measureDetection(20, { seed, killed: 1, rounds: 100 });
await measureDetection(84, { seed, killed: 1, rounds: 40 });
await measureDetection(84, { seed, killed: 14, rounds: 10 });

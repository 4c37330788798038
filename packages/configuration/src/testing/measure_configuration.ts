/**
 * Measures what a change costs a VM at 12,000 organisations. Run it with
 * `node --expose-gc packages/configuration/dist/testing/measure_configuration.js`.
 */

import { Buffer } from "node:buffer";
import { randomUUID } from "node:crypto";
import process from "node:process";
import { applyAcceptedChanges, applyChange } from "../apply_change.ts";
import { decodeChange, encodeChange } from "../change_codec.ts";
import { ChangeServer } from "../change_server.ts";
import { ConfigurationStore } from "../configuration_store.ts";
import {
  decodeCompressedSnapshot,
  encodeCompressedSnapshot,
} from "../snapshot_archive.ts";
import {
  createEncodedWeight,
  createLargeFleet,
  createOrganisation,
  createPutOrganisation,
} from "./fixtures.ts";
import { MemoryFleet } from "./memory_fleet.ts";
import {
  createMemoryPlatform,
  writeUpTo,
  writeWeight,
} from "./memory_platform.ts";

const ORGANISATIONS = 12_000;
const ROUNDS = 200;
const ZONE_VMS = 84;
const SETTLE_MILLISECONDS = 10_000;
const GC_TURNS = 3;
const BYTES_PER_MEBIBYTE = 1_024 * 1_024;

function printFigure(name: string, figure: number, unit: string): void {
  process.stdout.write(`${name.padEnd(52)} ${figure.toFixed(3)} ${unit}\n`);
}

/** Returns the mean duration of a call in milliseconds. */
function measureCall(run: (round: number) => void): number {
  const start = performance.now();
  for (let round = 0; round < ROUNDS; round++) {
    run(round);
  }
  return (performance.now() - start) / ROUNDS;
}

function measureApply(): void {
  const fleet = createLargeFleet(ORGANISATIONS);
  const change = decodeChange(createEncodedWeight("organisation-7", 2))
    ._unsafeUnwrap();
  printFigure(
    "apply an accepted change",
    measureCall(() => applyAcceptedChanges(fleet, [change])),
    "ms",
  );
  const services = ["captions", "summaries", "printing"];
  const operation = createPutOrganisation(
    createOrganisation("organisation-7", { services, weight: 2 }),
  );
  printFigure(
    "check and apply a change (the writer alone)",
    measureCall(() => {
      applyChange(fleet, { version: 2, operations: [operation] })
        ._unsafeUnwrap();
    }),
    "ms",
  );
}

async function measureSnapshot(): Promise<void> {
  const fleet = createLargeFleet(ORGANISATIONS);
  const start = performance.now();
  const content = await encodeCompressedSnapshot(fleet);
  const encoded = performance.now();
  (await decodeCompressedSnapshot(content))._unsafeUnwrap();
  const end = performance.now();
  printFigure("snapshot, compressed", content.length, "bytes");
  printFigure("encode a snapshot", encoded - start, "ms");
  printFigure("decode a snapshot", end - encoded, "ms");
}

/** Needs `--expose-gc`; must run first, while the heap is almost empty. */
async function measureMemory(): Promise<void> {
  const store = new ConfigurationStore();
  const content = await encodeCompressedSnapshot(
    createLargeFleet(ORGANISATIONS),
  );
  const before = await readHeapBytes();
  const decoded = (await decodeCompressedSnapshot(content))._unsafeUnwrap();
  store.receiveSnapshot(decoded);
  const bytes = await readHeapBytes() - before;
  const { size } = store.current.organisations;
  printFigure(
    `a configuration of ${size} organisations`,
    bytes / BYTES_PER_MEBIBYTE,
    "MiB",
  );
}

/** Returns the bytes of heap in use after garbage collection. */
async function readHeapBytes(): Promise<number> {
  for (let turn = 0; turn < GC_TURNS; turn++) {
    globalThis.gc?.();
    await new Promise<void>((resolve) => setImmediate(resolve));
  }
  return process.memoryUsage().heapUsed;
}

async function measureAnswer(): Promise<void> {
  const store = new ConfigurationStore();
  store.receiveSnapshot(createLargeFleet(ORGANISATIONS));
  const organisation = store.current.organisations.get("organisation-7")!;
  const change = encodeChange({
    version: 2,
    id: randomUUID(),
    author: "operator",
    acceptedAt: Date.now(),
    operations: [createPutOrganisation({ ...organisation, weight: 2 })],
  });
  store.receive([change])._unsafeUnwrap();
  const server = new ChangeServer(store);
  const request = { request: 1, afterVersion: 1 } as Parameters<
    ChangeServer["buildAnswer"]
  >[0];
  const answer = JSON.stringify(await server.buildAnswer(request));
  printFigure("one change's text", Buffer.byteLength(change.body), "bytes");
  printFigure("the answer with one change", answer.length, "bytes");
}

async function measureSpread(): Promise<void> {
  const platform = createMemoryPlatform();
  await writeUpTo(platform, 1);
  const vms = Array.from({ length: ZONE_VMS }, (_, index) => `vm-${index}`);
  const watchers = vms.slice(0, 2);
  const fleet = new MemoryFleet({ platform, vms, watchers });
  await fleet.advance(SETTLE_MILLISECONDS);
  fleet.sentBytes.clear();
  await writeWeight(platform, 2);
  await fleet.advance(SETTLE_MILLISECONDS);
  const sent = [...fleet.sentBytes.values()];
  const sum = sent.reduce((total, bytes) => total + bytes, 0);
  fleet.stop();
  printFigure("sent by a VM for a change, mean", sum / ZONE_VMS, "bytes");
  printFigure("sent by a VM for a change, most", Math.max(...sent), "bytes");
}

async function main(): Promise<void> {
  await measureMemory();
  measureApply();
  await measureSnapshot();
  await measureAnswer();
  await measureSpread();
}

await main();

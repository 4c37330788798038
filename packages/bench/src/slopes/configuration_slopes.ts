/** What the configuration costs a VM: memory, and the work of a change. */

import {
  applyChange,
  ConfigurationStore,
  decodeSnapshot,
  encodeChange,
  encodeSnapshot,
  OperationKind,
} from "@rattanvane/configuration";
import { readHeapBytes, readProcessorMicroseconds } from "./resources.ts";
import { createSampleConfiguration } from "./sample_configuration.ts";
import type { Slope, SlopePoint } from "./slope.ts";

const ORGANISATION_COUNTS = [1500, 6000, 12_000, 24_000];
const ENDPOINT_COUNTS = [2300, 4600, 9200, 18_400];
const FEW = 10;
const CHANGES = 100;

/** Measures memory by organisations and endpoints, and changes. */
export async function measureConfigurationSlopes(): Promise<Slope[]> {
  const memory: SlopePoint[] = [];
  const changes: SlopePoint[] = [];
  const texts: SlopePoint[] = [];
  for (const size of ORGANISATION_COUNTS) {
    memory.push({ size, value: await measureMemory(size, FEW) });
    changes.push({ size, value: measureChange(size) });
    texts.push({
      size,
      value: encodeSnapshot(createSampleConfiguration(size, FEW)).length,
    });
  }
  const endpoints: SlopePoint[] = [];
  for (const size of ENDPOINT_COUNTS) {
    endpoints.push({ size, value: await measureMemory(FEW, size) });
  }
  return [
    {
      name: "memory of an organisation",
      sizeUnit: "organisation",
      unit: "bytes",
      points: memory,
    },
    {
      name: "memory of an endpoint",
      sizeUnit: "endpoint",
      unit: "bytes",
      points: endpoints,
    },
    {
      name: "a change taken in",
      sizeUnit: "organisation",
      unit: "us",
      points: changes,
    },
    {
      name: "a whole configuration as text",
      sizeUnit: "organisation",
      unit: "bytes",
      points: texts,
    },
  ];
}

async function measureMemory(
  organisations: number,
  endpoints: number,
): Promise<number> {
  const text = encodeSnapshot(
    createSampleConfiguration(organisations, endpoints),
  );
  const store = new ConfigurationStore();
  const before = await readHeapBytes();
  store.receiveSnapshot(decodeSnapshot(text)._unsafeUnwrap());
  const used = await readHeapBytes() - before;
  return store.current.version === 0 ? NaN : used;
}

/** The bytes of one change's text. */
export function measureChangeBytes(): number {
  return createWeightChange(2).body.length;
}

function measureChange(organisations: number): number {
  const store = new ConfigurationStore();
  store.receiveSnapshot(createSampleConfiguration(organisations, FEW));
  for (let index = 0; index < CHANGES; index++) {
    store.receive([createWeightChange(2 + index)])._unsafeUnwrap();
  }
  const before = readProcessorMicroseconds();
  for (let index = 0; index < CHANGES; index++) {
    store.receive([createWeightChange(2 + CHANGES + index)])._unsafeUnwrap();
  }
  return (readProcessorMicroseconds() - before) / CHANGES;
}

function createWeightChange(version: number) {
  const configuration = createSampleConfiguration(1, FEW);
  const [organisation] = configuration.organisations.values();
  if (organisation === undefined) {
    throw new Error("The sample configuration has no organisation");
  }
  const operations = [{
    kind: OperationKind.PutOrganisation as const,
    organisation: { ...organisation, weight: version },
  }];
  applyChange(configuration, { version: 2, operations })._unsafeUnwrap();
  return encodeChange({
    version,
    id: `change-${version}-0d9cb1c4-33f0-4f0f-9d3b-5f6f3c8bd1a2`,
    author: "operator",
    acceptedAt: 1_780_000_000_000,
    operations,
  });
}

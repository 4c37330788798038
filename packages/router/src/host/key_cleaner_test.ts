import { createSilentLogger, ManualClock } from "@rattanvane/base";
import {
  createEmptyConfiguration,
  type FleetConfiguration,
  type Zone,
} from "@rattanvane/configuration";
import { PlatformError, PlatformErrorKind } from "@rattanvane/platform";
import {
  MemoryObjectStore,
  MemoryTableService,
  PlatformFaults,
} from "@rattanvane/platform/testing";
import type { VmContact } from "@rattanvane/protocol";
import { expect } from "chai";
import { describe, it } from "mocha";
import { err } from "neverthrow";
import { createKeyCleaner } from "./key_cleaner.ts";

const ZONES = ["a", "b"];
const VMS = ZONES.flatMap((zone) =>
  ["1", "2", "3"].map((number) => createContact(zone + number, zone))
);

function createContact(vm: string, zone: string): VmContact {
  return { vm, zone, host: "127.0.0.1", controlPort: 1, callerPort: 2 };
}

function createConfiguration(drained: readonly string[]): FleetConfiguration {
  const zones = new Map<string, Zone>();
  for (const name of ZONES) {
    zones.set(name, { name, region: "r", drained: drained.includes(name) });
  }
  return { ...createEmptyConfiguration(), version: 1, zones };
}

/** Finds the VMs that scan the rows under a configuration. */
async function findCleaners(
  configuration: FleetConfiguration | undefined,
): Promise<VmContact[]> {
  const cleaners: VmContact[] = [];
  for (const self of VMS) {
    const clock = new ManualClock();
    const faults = new PlatformFaults(clock);
    const platform = {
      table: new MemoryTableService(faults),
      objects: new MemoryObjectStore(faults),
    };
    const cleaner = createKeyCleaner({
      self,
      platform,
      rowWriter: { write: () => Promise.resolve(err(createError())) },
      membership: {
        listLive: (zone) => VMS.filter((contact) => contact.zone === zone),
      },
      clock,
      logger: createSilentLogger(),
      findConfiguration: () => configuration,
    });
    await cleaner.runOnce(new AbortController().signal);
    if (faults.reads > 0) {
      cleaners.push(self);
    }
  }
  return cleaners;
}

function createError(): PlatformError {
  return new PlatformError(PlatformErrorKind.Unavailable, "Nothing is written");
}

describe("createKeyCleaner", () => {
  const cases: [string, readonly string[], string[]][] = [
    ["one VM of the first zone", [], ["a"]],
    ["one VM of the next zone when the first is drained", ["a"], ["b"]],
    ["nobody when all zones are drained", ["a", "b"], []],
  ];
  for (const [title, drained, zones] of cases) {
    it(`lets ${title} clean up`, async () => {
      const cleaners = await findCleaners(createConfiguration(drained));
      expect(cleaners.map((cleaner) => cleaner.zone)).to.deep.equal(zones);
    });
  }

  it("lets nobody clean up without a configuration", async () => {
    expect(await findCleaners(undefined)).to.deep.equal([]);
  });
});

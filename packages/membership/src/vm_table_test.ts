import { expect } from "chai";
import { describe, it } from "mocha";
import { VmState, type VmUpdate } from "@rattanvane/protocol";
import { createTestContact, TEST_ZONE } from "./testing/test_fleet.ts";
import { VmTable } from "./vm_table.ts";

function createUpdate(state: VmState, incarnation: number): VmUpdate {
  return { contact: createTestContact("v", TEST_ZONE), state, incarnation };
}

describe("VmTable", () => {
  const { Live, Suspect, Leaving, Dead } = VmState;
  const cases: [VmState, number, VmState, number, VmState][] = [
    [Live, 1, Suspect, 1, Suspect],
    [Suspect, 1, Live, 1, Suspect],
    [Suspect, 1, Live, 2, Live],
    [Live, 2, Suspect, 1, Live],
    [Leaving, 1, Suspect, 1, Leaving],
    [Leaving, 1, Dead, 1, Dead],
    [Dead, 1, Leaving, 1, Dead],
    [Dead, 1, Live, 1, Dead],
    [Dead, 1, Live, 2, Live],
    [Live, 2, Dead, 1, Live],
  ];
  for (const [state, incarnation, next, nextIncarnation, expected] of cases) {
    it(`is ${expected} after ${state} ${incarnation} and then ${next} ${nextIncarnation}`, () => {
      const table = new VmTable();
      table.apply(createUpdate(state, incarnation), 0);
      table.apply(createUpdate(next, nextIncarnation), 0);
      expect(table.find("v")?.state).to.equal(expected);
    });
  }
});

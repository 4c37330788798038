import { Deferred, ManualClock } from "@rattanvane/base";
import { expect } from "chai";
import { ok } from "neverthrow";
import { describe, it } from "mocha";
import { type CallEnd, CallRegistry } from "./call_registry.ts";
import { ExecutionKind } from "./execution.ts";
import { createAnswer, describeResult } from "./testing/once_fleet.ts";

const MINUTE = 60_000;
const LIMIT_BYTES = 5_000;
const RESULT_BYTES = 1_000;

function createRegistry(callLimit = 100) {
  const clock = new ManualClock();
  const registry = new CallRegistry({
    clock,
    resultLimitBytes: LIMIT_BYTES,
    resultRetentionMilliseconds: MINUTE,
    callLimit,
  });
  let starts = 0;
  const run = async (id: string, rememberUntil = 0, end?: Promise<void>) => {
    const result = await registry.run({
      id,
      key: id,
      fingerprint: "f",
      rememberUntil,
      start: async (): Promise<CallEnd> => {
        starts++;
        await end;
        const execution = createAnswer(id, RESULT_BYTES);
        return { result: ok({ execution, replayed: false }), final: true };
      },
    });
    return describeResult(result).split(" ")[0];
  };
  return { clock, registry, run, countStarts: () => starts };
}

describe("CallRegistry", () => {
  it("keeps results within its bytes, and never runs a dropped one again", async () => {
    const { registry, run, countStarts } = createRegistry();
    const later = 10 * MINUTE;
    for (let call = 0; call < 20; call++) {
      await run(`c${call}`, later);
      expect(registry.resultBytes).to.be.at.most(LIMIT_BYTES);
    }
    expect(await run("c19", later)).to.equal("c19");
    expect(await run("c0", later)).to.equal(ExecutionKind.Unknown);
    expect(countStarts()).to.equal(20);
  });

  it("forgets results in time and calls when they need no memory", async () => {
    const { clock, registry, run, countStarts } = createRegistry();
    await run("guarded", 10 * MINUTE);
    await run("plain");
    await clock.advance(MINUTE);
    expect(await run("guarded", 10 * MINUTE)).to.equal(ExecutionKind.Unknown);
    expect(registry.size).to.equal(1);
    await clock.advance(9 * MINUTE);
    await run("other");
    expect(registry.has("guarded")).to.equal(false);
    expect(countStarts()).to.equal(3);
  });

  it("does not run what it could not remember", async () => {
    const { run, countStarts } = createRegistry(2);
    const held = new Deferred<void>();
    const first = run("a", MINUTE, held.promise);
    await run("b", MINUTE);
    expect(await run("c", MINUTE)).to.equal(ExecutionKind.NotRun);
    const joined = run("a", MINUTE);
    held.resolve();
    expect(await Promise.all([first, joined])).to.deep.equal(["a", "a"]);
    expect(countStarts()).to.equal(2);
  });
});

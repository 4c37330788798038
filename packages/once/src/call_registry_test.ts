import { Deferred, ManualClock } from "@rattanvane/base";
import { expect } from "chai";
import { ok } from "neverthrow";
import { describe, it } from "mocha";
import { type CallOutcome, CallRegistry } from "./call_registry.ts";
import { ExecutionKind } from "./execution.ts";
import { createAnswer, describeResult } from "./testing/once_fleet.ts";

const MINUTE_MILLISECONDS = 60_000;
const LIMIT_BYTES = 5_000;
const RESULT_BYTES = 1_000;

function createRegistry(callLimit = 100) {
  const clock = new ManualClock();
  const registry = new CallRegistry({
    clock,
    resultLimitBytes: LIMIT_BYTES,
    resultRetentionMilliseconds: MINUTE_MILLISECONDS,
    callLimit,
  });
  let starts = 0;
  const run = async (id: string, retainUntil = 0, end?: Promise<void>) => {
    const result = await registry.run({
      id,
      key: id,
      fingerprint: "f",
      retainUntil,
      start: async (): Promise<CallOutcome> => {
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
  it("keeps results within the size limit and never reruns a call whose result was evicted", async () => {
    const { registry, run, countStarts } = createRegistry();
    const later = 10 * MINUTE_MILLISECONDS;
    for (let call = 0; call < 20; call++) {
      await run(`c${call}`, later);
      expect(registry.resultBytes).to.be.at.most(LIMIT_BYTES);
    }
    expect(await run("c19", later)).to.equal("c19");
    expect(await run("c0", later)).to.equal(ExecutionKind.Unknown);
    expect(countStarts()).to.equal(20);
  });

  it("evicts results after their retention, and entries when they need not be retained any longer", async () => {
    const { clock, registry, run, countStarts } = createRegistry();
    await run("guarded", 10 * MINUTE_MILLISECONDS);
    await run("plain");
    await clock.advance(MINUTE_MILLISECONDS);
    expect(await run("guarded", 10 * MINUTE_MILLISECONDS)).to.equal(
      ExecutionKind.Unknown,
    );
    expect(registry.size).to.equal(1);
    await clock.advance(9 * MINUTE_MILLISECONDS);
    await run("other");
    expect(registry.has("guarded")).to.equal(false);
    expect(countStarts()).to.equal(3);
  });

  it("does not run calls beyond the limit of registered calls", async () => {
    const { run, countStarts } = createRegistry(2);
    const held = new Deferred<void>();
    const first = run("a", MINUTE_MILLISECONDS, held.promise);
    await run("b", MINUTE_MILLISECONDS);
    expect(await run("c", MINUTE_MILLISECONDS)).to.equal(ExecutionKind.NotRun);
    const joined = run("a", MINUTE_MILLISECONDS);
    held.resolve();
    expect(await Promise.all([first, joined])).to.deep.equal(["a", "a"]);
    expect(countStarts()).to.equal(2);
  });
});

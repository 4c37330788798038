import { ChildAbort, createLifetime } from "@rattanvane/base";
import { expect } from "chai";
import { after, afterEach, before, describe, it } from "mocha";
import { runCommandLine } from "../demo/command_line.ts";
import type { FleetEngine } from "../fleet/fleet_endpoint.ts";
import { type CallRecord, CallVerdict } from "../load/call_record.ts";
import { type ProofFleet, startProofFleet } from "./proof_fleet.ts";

/** A drained endpoint or zone gets nothing new after this time. */
const IN_FORCE_MILLISECONDS = 3_000;

const CALLS_WHILE_AWAY = 60;
const TOKENS = 6;

/** Callers at every VM that send one call after the other. */
class SteadyCallers {
  readonly records: CallRecord[] = [];
  readonly #tasks: Promise<void>[];
  readonly #stop: ChildAbort;

  constructor(proof: ProofFleet) {
    this.#stop = new ChildAbort(proof.signal);
    this.#tasks = proof.fleet.parts.routers.map(({ vm }) =>
      this.#run(proof, vm)
    );
  }

  /** Lets every caller end its call; returns the verdicts of all calls. */
  async stop(): Promise<Set<CallVerdict>> {
    this.#stop.abort();
    await Promise.all(this.#tasks);
    return new Set(this.records.map((record) => record.verdict));
  }

  #isOver(proof: ProofFleet): boolean {
    return this.#stop.signal.aborted || proof.signal.aborted;
  }

  async #run(proof: ProofFleet, vm: string): Promise<void> {
    for (let call = 0; !this.#isOver(proof); call++) {
      const prompt = `drain ${vm} ${call}`;
      this.records.push(await proof.sendText({ vm, prompt, tokens: TOKENS }));
    }
  }
}

interface DrainCase {
  title: string;
  /** The words of the command line, with the verb left out. */
  noun: "endpoint" | "zone";
  name: (proof: ProofFleet) => string;
  isDrained: (engine: FleetEngine, name: string) => boolean;
}

const CASES: DrainCase[] = [
  {
    title: "an endpoint",
    noun: "endpoint",
    name: (proof) => proof.fleet.parts.engines[0]?.name ?? "",
    isDrained: (engine, name) => engine.name === name,
  },
  {
    title: "a zone",
    noun: "zone",
    name: () => "zone-b",
    isDrained: (engine, name) => engine.zone === name,
  },
];

describe("a drain under load, by the engines' own count", () => {
  const end = createLifetime();
  let proof: ProofFleet;
  let callers: SteadyCallers | undefined;

  // A failed test must not leave callers that find no fleet any more.
  afterEach(() => callers?.stop());

  before(async () => {
    proof = await startProofFleet({ enginesPerZone: 2 }, end.signal);
  });

  after(async () => {
    await proof?.stop();
    end.abort();
  });

  async function countStarted(each: DrainCase, name: string): Promise<number> {
    let started = 0;
    for (const engine of proof.fleet.parts.engines) {
      if (each.isDrained(engine, name)) {
        started += (await engine.readCounters()).started;
      }
    }
    return started;
  }

  for (const each of CASES) {
    it(`sends ${each.title} nothing new, cuts nothing, and returns it`, async () => {
      const name = each.name(proof);
      const platformUrl = proof.fleet.parts.platform.url;
      const steady = new SteadyCallers(proof);
      callers = steady;
      await proof.wait(
        `${each.title} works`,
        async () => await countStarted(each, name) > 0,
      );
      await runCommandLine(
        [each.noun, "drain", name],
        { platformUrl },
        proof.signal,
      );
      await proof.pause(IN_FORCE_MILLISECONDS);
      const drained = await countStarted(each, name);
      const calls = steady.records.length;
      await proof.wait(
        "others have answered meanwhile",
        () => steady.records.length >= calls + CALLS_WHILE_AWAY,
      );
      expect(await countStarted(each, name)).to.equal(drained);
      await runCommandLine(
        [each.noun, "return", name],
        { platformUrl },
        proof.signal,
      );
      await proof.wait(
        `${each.title} works again`,
        async () => await countStarted(each, name) > drained,
      );
      expect([...await steady.stop()]).to.deep.equal([CallVerdict.Whole]);
      expect(await proof.sumEngines("overloads")).to.equal(0);
    });
  }
});

import { expect } from "chai";
import { after, before, describe, it } from "mocha";
import { CallVerdict } from "../load/call_record.ts";
import { type ProofFleet, startProofFleet } from "./proof_fleet.ts";

const MARKER = "poison";
const ROUNDS = 3;
const TOKENS = 10;

describe("a request that crashes each engine that runs it", () => {
  const end = new AbortController();
  let proof: ProofFleet;

  before(async () => {
    proof = await startProofFleet({
      enginesPerZone: 3,
      plainServicesPerZone: 0,
      engine: {
        "slots": 4,
        "cold-slots": 2,
        "token-ms": 5,
        "crash-marker": MARKER,
      },
      engineLimits: { coldLimit: 2, limitCeiling: 4 },
    }, end.signal);
  });

  after(async () => {
    await proof?.stop();
    end.abort();
  });

  it("costs two engines at most, and others are served", async () => {
    const vms = proof.fleet.parts.routers.map(({ vm }) => vm);
    const others = sendOthers(proof, vms);
    let last = "";
    for (let round = 0; round < ROUNDS; round++) {
      for (const vm of vms) {
        const record = await proof.sendText({
          vm,
          prompt: `a ${MARKER} request`,
          tokens: TOKENS,
        });
        expect(record.verdict).to.not.equal(CallVerdict.Whole);
        last = record.problem;
      }
    }
    expect(await proof.sumEngines("crashes"), "crashes").to.be.at.most(2);
    expect(last).to.include("quarantined");
    expect(last).to.include("crashed the endpoints");
    for (const { verdict, problem } of await others) {
      expect(verdict, problem).to.equal(CallVerdict.Whole);
    }
  }).timeout(40_000);
});

async function sendOthers(proof: ProofFleet, vms: readonly string[]) {
  const organisation = "depot";
  const records = [];
  for (let index = 0; index < ROUNDS * vms.length; index++) {
    const vm = vms[index % vms.length] ?? "";
    const prompt = `other ${index}`;
    records.push(
      await proof.sendText({ vm, prompt, tokens: TOKENS, organisation }),
    );
  }
  return records;
}

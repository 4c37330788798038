import { createSilentLogger, ManualClock } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { PromptPartSuspects } from "./prompt_part_suspects.ts";

const BETWEEN_CRASHES_MILLISECONDS = 1_000;

function createSuspects(clock = new ManualClock()) {
  const suspects = new PromptPartSuspects({
    clock,
    logger: createSilentLogger(),
  });
  suspects.recordResponse(["system"], clock.now() - 1);
  return { clock, suspects };
}

/** Records a crash in which one request was lost that had just been sent. */
function addCrash(
  suspects: PromptPartSuspects,
  clock: ManualClock,
  crash: { endpoint: string; parts: string[]; sentAt?: number },
): void {
  const sentAt = crash.sentAt ?? clock.now() - 50;
  suspects.recordCrash({
    endpoint: crash.endpoint,
    startedAtUnixMilliseconds: 1,
    at: clock.now(),
    parts: crash.parts.map((part, depth) => ({ part, depth, sentAt })),
  });
}

describe("PromptPartSuspects", () => {
  it("quarantines the part of three crashes in a row, and none of the other parts of its requests", async () => {
    const { clock, suspects } = createSuspects();
    for (const endpoint of ["e1", "e2", "e3"]) {
      expect(suspects.hasQuarantined(["deadly"])).to.equal(false);
      addCrash(suspects, clock, { endpoint, parts: ["system", "deadly"] });
      await clock.advance(BETWEEN_CRASHES_MILLISECONDS);
    }
    expect(suspects.hasQuarantined(["system", "deadly"])).to.equal(true);
    expect(suspects.hasQuarantined(["system", "other"])).to.equal(false);
    expect(suspects.size).to.equal(1);
  });

  it("clears a part of the crashes before a response to it", async () => {
    const { clock, suspects } = createSuspects();
    for (const endpoint of ["e1", "e2", "e3", "e4", "e5"]) {
      addCrash(suspects, clock, { endpoint, parts: ["shared"] });
      await clock.advance(BETWEEN_CRASHES_MILLISECONDS);
      if (endpoint === "e2" || endpoint === "e4") {
        suspects.recordResponse(["shared"], clock.now());
      }
    }
    expect(suspects.size).to.equal(0);
  });

  it("is not cleared by a response that began before the crash", async () => {
    const { clock, suspects } = createSuspects();
    const beganAt = clock.now();
    await clock.advance(1);
    for (const endpoint of ["e1", "e2", "e3"]) {
      addCrash(suspects, clock, { endpoint, parts: ["deadly"] });
      suspects.recordResponse(["deadly"], beganAt);
      await clock.advance(BETWEEN_CRASHES_MILLISECONDS);
    }
    expect(suspects.hasQuarantined(["deadly"])).to.equal(false);
    suspects.recordResponse(["other"], clock.now());
    expect(suspects.hasQuarantined(["deadly"])).to.equal(true);
  });

  it("counts endpoints that are lost together as one crash", async () => {
    const { clock, suspects } = createSuspects();
    await clock.advance(1_000);
    const sentAt = clock.now() - 10;
    for (const endpoint of ["e1", "e2", "e3", "e4", "e5", "e6"]) {
      addCrash(suspects, clock, { endpoint, parts: ["shared"], sentAt });
      await clock.advance(20);
    }
    expect(suspects.size).to.equal(0);
  });

  it("counts one process's crash once, and again after a restart", async () => {
    const { clock, suspects } = createSuspects();
    for (let crash = 0; crash < 6; crash++) {
      await clock.advance(BETWEEN_CRASHES_MILLISECONDS);
      suspects.recordCrash({
        endpoint: "e1",
        startedAtUnixMilliseconds: Math.floor(crash / 3),
        at: clock.now(),
        parts: [{ part: "deadly", depth: 0, sentAt: clock.now() - 10 }],
      });
    }
    expect(suspects.size).to.equal(0);
  });

  it("does not blame a part of nearly all requests while no engine responds", async () => {
    const { clock, suspects } = createSuspects();
    await clock.advance(1_000);
    const sentAt = clock.now() - 100;
    for (const endpoint of ["e1", "e2", "e3", "e4", "e5", "e6"]) {
      addCrash(suspects, clock, { endpoint, parts: ["deadly"], sentAt });
      addCrash(suspects, clock, { endpoint, parts: ["system"] });
      await clock.advance(100);
    }
    expect(suspects.hasQuarantined(["system"])).to.equal(false);
  });

  it("blames no part before it has seen any response", async () => {
    const clock = new ManualClock();
    const suspects = new PromptPartSuspects({
      clock,
      logger: createSilentLogger(),
    });
    for (const endpoint of ["e1", "e2", "e3"]) {
      addCrash(suspects, clock, { endpoint, parts: ["system", "deadly"] });
      await clock.advance(BETWEEN_CRASHES_MILLISECONDS);
    }
    expect(suspects.size).to.equal(0);
    suspects.recordResponse(["system"], clock.now());
    expect(suspects.hasQuarantined(["deadly"])).to.equal(true);
  });

  it("adds up the crashes that several VMs observed, and tells one that starts later", async () => {
    const clock = new ManualClock();
    const vms = [1, 2, 3].map(() => createSuspects(clock).suspects);
    for (const [index, suspects] of vms.entries()) {
      addCrash(suspects, clock, {
        endpoint: `e${index}`,
        parts: ["system", "deadly"],
      });
      for (const other of vms) {
        other.merge(suspects.listReports(), suspects.listSoundParts());
      }
      await clock.advance(BETWEEN_CRASHES_MILLISECONDS);
    }
    await clock.advance(10_000);
    const { suspects: late } = createSuspects(clock);
    late.merge(vms[0]?.listReports() ?? [], []);
    for (const suspects of [...vms, late]) {
      expect(suspects.hasQuarantined(["deadly"])).to.equal(true);
      expect(suspects.hasQuarantined(["system"])).to.equal(false);
    }
  });

  it("clears a part that responded at another VM", async () => {
    const clock = new ManualClock();
    const { suspects } = createSuspects(clock);
    const { suspects: other } = createSuspects(clock);
    for (const endpoint of ["e1", "e2", "e3"]) {
      addCrash(suspects, clock, { endpoint, parts: ["shared"] });
      other.merge(suspects.listReports(), []);
      await clock.advance(BETWEEN_CRASHES_MILLISECONDS);
    }
    expect(suspects.hasQuarantined(["shared"])).to.equal(true);
    other.recordResponse(["shared"], clock.now());
    suspects.merge([], other.listSoundParts());
    expect(suspects.hasQuarantined(["shared"])).to.equal(false);
  });

  it("forgets crashes after ten minutes", async () => {
    const { clock, suspects } = createSuspects();
    for (const endpoint of ["e1", "e2", "e3"]) {
      addCrash(suspects, clock, { endpoint, parts: ["deadly"] });
      await clock.advance(BETWEEN_CRASHES_MILLISECONDS);
    }
    await clock.advance(600_000);
    expect(suspects.size).to.equal(0);
  });
});

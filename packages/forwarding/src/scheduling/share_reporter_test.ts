import { createLifetime, ManualClock, RecordingLogger } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { ShareMeter } from "./share_meter.ts";
import { ShareReporter } from "./share_reporter.ts";

function createReporter() {
  const clock = new ManualClock();
  const logger = new RecordingLogger();
  const shares = new ShareMeter({ clock, periodMilliseconds: 8_000 });
  shares.updateCapacity(100);
  void new ShareReporter({ shares, clock, logger })
    .run(createLifetime().signal);
  return { clock, shares, lines: logger.lines };
}

describe("ShareReporter", () => {
  it("tells a level that is too high from reports that are missing", async () => {
    const { clock, shares, lines } = createReporter();
    shares.recordAsked("first", 350);
    shares.recordGranted("first", 100);
    shares.mergePeer("vm-2", [
      { organisation: "second", asked: 40, granted: 40 },
    ]);
    await clock.advance(1_000);
    expect(lines).to.have.length(1);
    expect(lines[0]?.fields).to.deep.include({
      level: "unlimited",
      capacity: 400,
      asked: 390,
      granted: 140,
      reports: 1,
      oldestReportMilliseconds: 1_000,
    });
    expect(lines[0]?.fields["organisations"]).to.equal(
      "first Low 100/350 (100/350), second Low 40/40 (0/0)",
    );
  });

  it("logs nothing while organisations are granted what they ask for", async () => {
    const { clock, shares, lines } = createReporter();
    shares.recordAsked("first", 100);
    shares.recordGranted("first", 90);
    await clock.advance(3_000);
    expect(lines).to.have.length(0);
  });
});

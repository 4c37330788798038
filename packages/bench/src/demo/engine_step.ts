/** The demo's last step: what the engines have to say. */

import type { DemoContext } from "./demo_context.ts";

/** Checks that no engine got more than it bears. */
export async function runEngineStep(
  { fleet, report }: DemoContext,
): Promise<void> {
  let overloads = 0;
  let started = 0;
  for (const engine of fleet.parts.engines) {
    const counters = await engine.readCounters();
    overloads += counters.overloads;
    started += counters.started;
  }
  report.add({
    promise: "no engine gets more than it bears, cold ones included",
    seen: `${overloads} overloads in ${started} calls at ` +
      `${fleet.parts.engines.length} engines`,
    kept: overloads === 0,
  });
}

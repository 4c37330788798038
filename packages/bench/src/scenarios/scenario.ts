/** What all scenarios have in common. */

import type { Clock } from "@rattanvane/base";
import type { Figure } from "./figure.ts";

/** How a scenario is run. */
export interface ScenarioOptions {
  seed: number;
  /** The length of each measured phase. */
  seconds: number;
  clock: Clock;
}

/** The baseline that most scenarios compare with. */
export const ROUND_ROBIN_BASELINE =
  "every router schedules for itself, round robin";

/** Measures one property of a fleet of real processes. */
export abstract class Scenario {
  abstract readonly name: string;
  abstract readonly description: string;
  /** What the figures are compared with in the same run. */
  abstract readonly baseline: string;

  /** Starts what it needs, measures, and ends it. */
  abstract measure(
    options: ScenarioOptions,
    signal: AbortSignal,
  ): Promise<Figure[]>;
}

/** Faults of an endpoint's answers that a test can switch on. */

import { ChanceGate } from "./chance_gate.ts";
import type { JsonFields } from "./json_fields.ts";

const DEFAULT_LATE_MILLISECONDS = 5000;

/** The names of the fields that set these faults. */
export const ANSWER_FAULT_FIELDS = [
  "crossAnswers",
  "duplicateAnswers",
  "lateAnswers",
  "lateMilliseconds",
  "delayMilliseconds",
  "seed",
] as const;

/** The answer faults in force; a new setting replaces all of the old one. */
export class AnswerFaults {
  /** Strikes answers that carry another attempt's id and content. */
  readonly crossing: ChanceGate;
  /** Strikes answers, or events of a stream, that are sent twice. */
  readonly duplication: ChanceGate;
  readonly #lateness: ChanceGate;
  readonly #lateMilliseconds: number;
  readonly #delayMilliseconds: number;

  constructor(fields: JsonFields) {
    const seed = fields.number("seed", 1);
    this.crossing = new ChanceGate(fields.number("crossAnswers", 0), seed);
    this.duplication = new ChanceGate(
      fields.number("duplicateAnswers", 0),
      seed + 1,
    );
    this.#lateness = new ChanceGate(fields.number("lateAnswers", 0), seed + 2);
    this.#lateMilliseconds = fields.number(
      "lateMilliseconds",
      DEFAULT_LATE_MILLISECONDS,
    );
    this.#delayMilliseconds = fields.number("delayMilliseconds", 0);
  }

  /** Picks how long the next answer waits before its first byte. */
  pickDelayMilliseconds(): number {
    const late = this.#lateness.strikes() ? this.#lateMilliseconds : 0;
    return this.#delayMilliseconds + late;
  }
}

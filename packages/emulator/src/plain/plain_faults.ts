/** The faults that a test can switch on at a plain service. */

import { ANSWER_FAULT_FIELDS, AnswerFaults } from "../common/answer_faults.ts";
import { ChanceGate } from "../common/chance_gate.ts";
import type { JsonFields } from "../common/json_fields.ts";

/** The faults in force; a new setting replaces all of the old one. */
export class PlainFaults {
  readonly answers: AnswerFaults;
  /** Strikes calls whose connection is cut after they ran. */
  readonly cutting: ChanceGate;
  #crashesBefore: number;
  #crashesAfter: number;

  constructor(fields: JsonFields) {
    fields.checkNames([
      ...ANSWER_FAULT_FIELDS,
      "cutAnswers",
      "crashBeforeRunning",
      "crashAfterRunning",
    ]);
    this.answers = new AnswerFaults(fields);
    this.cutting = new ChanceGate(
      fields.number("cutAnswers", 0),
      fields.number("seed", 1),
    );
    this.#crashesBefore = fields.number("crashBeforeRunning", 0);
    this.#crashesAfter = fields.number("crashAfterRunning", 0);
  }

  /** Whether this call crashes the service before it runs. */
  takeCrashBefore(): boolean {
    return this.#crashesBefore-- > 0;
  }

  /** Whether this call crashes the service after it ran. */
  takeCrashAfter(): boolean {
    return this.#crashesAfter-- > 0;
  }
}

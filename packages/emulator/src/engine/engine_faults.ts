/** The faults that a test can switch on at an engine. */

import { ANSWER_FAULT_FIELDS, AnswerFaults } from "../common/answer_faults.ts";
import type { JsonFields } from "../common/json_fields.ts";

const NEVER = 0;

/** The faults in force; a new setting replaces all of the old one. */
export class EngineFaults {
  readonly answers: AnswerFaults;
  /**
   * Cuts the first connection of each attempt after so many tokens; 0 for
   * never. An answer that is not streamed is cut in the middle of its body.
   */
  readonly cutAfterTokens: number;

  constructor(fields: JsonFields) {
    fields.checkNames([...ANSWER_FAULT_FIELDS, "cutAfterTokens"]);
    this.answers = new AnswerFaults(fields);
    this.cutAfterTokens = fields.number("cutAfterTokens", NEVER);
  }
}

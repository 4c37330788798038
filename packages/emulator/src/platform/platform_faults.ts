/** The faults that a test can switch on at the platform. */

import { ChanceGate } from "../common/chance_gate.ts";
import type { JsonFields } from "../common/json_fields.ts";

/** The faults in force; a new setting replaces all of the old one. */
export class PlatformFaults {
  /** Every call but the admin's is answered with 503. */
  readonly outage: boolean;
  /** How long each call waits before it takes effect. */
  readonly delayMilliseconds: number;
  /** Strikes writes that take effect without an answer. */
  readonly loseWriteAnswers: ChanceGate;

  constructor(fields: JsonFields) {
    fields.checkNames([
      "outage",
      "delayMilliseconds",
      "loseWriteAnswers",
      "seed",
    ]);
    this.outage = fields.boolean("outage");
    this.delayMilliseconds = fields.number("delayMilliseconds", 0);
    this.loseWriteAnswers = new ChanceGate(
      fields.number("loseWriteAnswers", 0),
      fields.number("seed", 1),
    );
  }
}

/** The bench's baseline for configuration: a VM that polls the table itself. */

import { type Clock, RandomSource } from "@rattanvane/base";
import { JsonClient } from "../common/json_client.ts";

const HEAD_PATH = "/table/row?key=configuration%2Fhead";

interface HeadRow {
  value: string;
}

/** Reads the newest version's number at a fixed period. */
export class TablePoller {
  /** The newest version that was read. */
  version = 0;
  readonly #client: JsonClient;
  readonly #clock: Clock;
  readonly #periodMilliseconds: number;
  readonly #random: RandomSource;

  constructor(
    options: {
      platformUrl: string;
      clock: Clock;
      periodMilliseconds: number;
      seed: number;
    },
  ) {
    this.#client = new JsonClient(options.platformUrl);
    this.#clock = options.clock;
    this.#periodMilliseconds = options.periodMilliseconds;
    this.#random = new RandomSource(options.seed);
  }

  /** Polls until the abort, from a random moment of the first period. */
  async run(signal: AbortSignal): Promise<void> {
    const offset = this.#random.nextFraction() * this.#periodMilliseconds;
    await this.#clock.sleep(offset, signal);
    while (!signal.aborted) {
      const row = await this.#client.read<HeadRow>(HEAD_PATH);
      this.version = Number(row.value);
      await this.#clock.sleep(this.#periodMilliseconds, signal);
    }
  }
}

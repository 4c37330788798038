/** Writes what was sent, answered and run into `record.txt` of a case. */

import { writeFileSync } from "node:fs";
import { join } from "node:path";

export const EXIT_HELD = 0;
export const EXIT_BROKEN = 1;
export const EXIT_NOT_RUN = 2;

export const hasTrouble = process.env.TROUBLE !== "0";

export class Record {
  #lines = [];
  #startedAt = Date.now();

  add(line) {
    const seconds = ((Date.now() - this.#startedAt) / 1_000).toFixed(3);
    this.#lines.push(`${seconds} ${line}`);
  }

  addCalls(calls) {
    for (const { attempt, path, vm, sentAt, endedAt, status, error } of calls) {
      this.#lines.push(
        `sent ${attempt} ${path} to ${vm} at ${sentAt - this.#startedAt} ms: ` +
          `${error ?? "complete"}, status ${status ?? "none"}, after ${
            endedAt - sentAt
          } ms`,
      );
    }
  }

  addRuns(servers) {
    for (const server of servers) {
      for (const { attempt, at } of server.runs) {
        this.#lines.push(
          `run ${attempt} at ${server.name} at ${at - this.#startedAt} ms`,
        );
      }
    }
  }

  write(folder) {
    writeFileSync(join(folder, "record.txt"), this.#lines.join("\n") + "\n");
  }
}

/**
 * Runs a case; `play` returns whether the rule held and adds to the record. The
 * exit code says what came of it.
 */
export async function runCase(folder, play, close) {
  const record = new Record();
  let code = EXIT_NOT_RUN;
  try {
    code = await play(record) ? EXIT_HELD : EXIT_BROKEN;
  } catch (error) {
    record.add(`could not run: ${error.stack}`);
    console.error(error);
  }
  await close();
  record.add(`exit code ${code}`);
  record.write(folder);
  process.exit(code);
}

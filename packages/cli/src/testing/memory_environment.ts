/** A command line on an in-memory platform, for tests. */

import { ManualClock, RandomSource } from "@rattanvane/base";
import {
  MemoryObjectStore,
  MemoryTableService,
  PlatformFaults,
} from "@rattanvane/platform/testing";
import type { CommandEnvironment, VmAnswer } from "../command_environment.ts";
import type { ExitCode } from "../exit_code.ts";
import { runCommandLine } from "../program.ts";

const STEP_MILLISECONDS = 100;
const URL_OF_THE_PLATFORM = "http://platform.test";

/** How a command line ended. */
export interface CommandRun {
  exitCode: ExitCode;
  output: string;
  errors: string;
}

/** Runs command lines, one after the other, against one platform. */
export class MemoryCommandLine {
  readonly clock = new ManualClock();
  readonly faults = new PlatformFaults(this.clock);
  readonly table = new MemoryTableService(this.faults);
  /** Called before each write, so that a test can race a command. */
  beforeWrite: (() => Promise<void>) | undefined;
  operatorKey: string | undefined = "operator-key";
  readVm: (url: string, key: string) => Promise<VmAnswer> = () =>
    Promise.reject(new Error("connection refused"));
  readonly #objects = new MemoryObjectStore(this.faults);
  #ids = 0;

  /** Runs words such as `zone drain a`; adds the platform's URL. */
  runOnPlatform(...words: string[]): Promise<CommandRun> {
    return this.run(...words, "--platform", URL_OF_THE_PLATFORM);
  }

  /** Runs words as they are and advances the clock until they end. */
  async run(...words: string[]): Promise<CommandRun> {
    const run = { output: "", errors: "" };
    const ended = runCommandLine(words, this.createEnvironment(run));
    let exitCode: ExitCode | undefined;
    ended.then((code) => {
      exitCode = code;
    });
    await this.clock.advance(0);
    while (exitCode === undefined) {
      await this.clock.advance(STEP_MILLISECONDS);
    }
    return { ...run, exitCode };
  }

  /** Creates the environment of one command, which collects its output. */
  createEnvironment(
    run: { output: string; errors: string },
  ): CommandEnvironment {
    return {
      clock: this.clock,
      random: new RandomSource(3),
      signal: new AbortController().signal,
      author: "olu",
      operatorKey: this.operatorKey,
      print: (text) => {
        run.output += text;
      },
      printError: (text) => {
        run.errors += text;
      },
      createId: () => `id-${++this.#ids}`,
      createKey: () => `rv-key-${++this.#ids}`,
      connectPlatform: () => ({
        table: new RacingTable(this),
        objects: this.#objects,
      }),
      readVm: (url, key) => this.readVm(url, key),
    };
  }
}

/** An environment for looking at the commands without running any. */
export function createSilentEnvironment(): CommandEnvironment {
  return new MemoryCommandLine().createEnvironment({ output: "", errors: "" });
}

class RacingTable extends MemoryTableService {
  readonly #line: MemoryCommandLine;

  constructor(line: MemoryCommandLine) {
    super(line.faults);
    this.#line = line;
  }

  override read(...call: Parameters<MemoryTableService["read"]>) {
    return this.#line.table.read(...call);
  }

  override readRange(...call: Parameters<MemoryTableService["readRange"]>) {
    return this.#line.table.readRange(...call);
  }

  override async write(...call: Parameters<MemoryTableService["write"]>) {
    const race = this.#line.beforeWrite;
    this.#line.beforeWrite = undefined;
    await race?.();
    return await this.#line.table.write(...call);
  }
}

/** Reads and changes the configuration on behalf of commands. */

import { ProductError } from "@rattanvane/base";
import {
  applyChange,
  type Change,
  collectDifferences,
  type ConfigurationError,
  ConfigurationErrorKind,
  ConfigurationLog,
  type FleetConfiguration,
  LogWriter,
  type Operation,
} from "@rattanvane/configuration";
import type { RowWrite } from "@rattanvane/platform";
import type { Result } from "neverthrow";
import type {
  CommandEnvironment,
  PlatformAccess,
} from "./command_environment.ts";
import {
  CommandFailure,
  createConfigurationFailure,
} from "./command_failure.ts";
import {
  type ChangeOptions,
  findPlatformUrl,
  type PlatformOptions,
} from "./common_options.ts";
import { ExitCode } from "./exit_code.ts";
import { formatDifferences } from "./format_differences.ts";
import type { CommandResult } from "./output.ts";
import { runWithProgress } from "./progress.ts";

/** How often a small change is made again when others come first. */
const CHANGE_ATTEMPTS = 5;

/** A change with everything that is written along with it. */
export interface WantedChange {
  operations: Operation[];
  expectedVersion: number;
  attachedRows?: readonly RowWrite[];
}

/** Opens the configuration for one command. */
export class ConfigurationClient {
  readonly platform: PlatformAccess;
  readonly log: ConfigurationLog;
  readonly #environment: CommandEnvironment;
  readonly #writer: LogWriter;

  constructor(environment: CommandEnvironment, options: PlatformOptions) {
    this.#environment = environment;
    this.platform = environment.connectPlatform(findPlatformUrl(options));
    const { objects, table } = this.platform;
    this.log = new ConfigurationLog(table, objects);
    this.#writer = new LogWriter({
      log: this.log,
      table,
      clock: environment.clock,
      random: environment.random,
      createId: () => environment.createId(),
    });
  }

  /** Reads the newest configuration; throws a CommandFailure. */
  load(): Promise<FleetConfiguration> {
    const load = this.log.load(this.#environment.signal);
    return this.wait(load, "reading the configuration");
  }

  /** Waits for a result with notes of progress; throws a CommandFailure. */
  async wait<Value>(
    task: Promise<Result<Value, ConfigurationError>>,
    doing: string,
  ): Promise<Value> {
    const environment = this.#environment;
    const result = await runWithProgress(task, { environment, doing });
    if (result.isErr()) {
      throw createConfigurationFailure([result.error]);
    }
    return result.value;
  }

  /** Throws a CommandFailure when the configuration has moved on. */
  async checkVersion(
    madeForVersion: number,
    current: FleetConfiguration,
  ): Promise<void> {
    if (madeForVersion === current.version) {
      return;
    }
    const { signal } = this.#environment;
    const conflict = await this.#writer.describeConflict(
      madeForVersion,
      signal,
    );
    throw createConfigurationFailure([conflict]);
  }

  /** The result of a change without operations. */
  async describeUnchanged(): Promise<CommandResult> {
    return describeNothing(await this.load());
  }

  /** Makes a change for one version, or shows it; throws a CommandFailure. */
  async applyOnce(
    change: WantedChange,
    options: ChangeOptions,
  ): Promise<CommandResult> {
    const before = await this.load();
    if (options.dryRun) {
      await this.checkVersion(change.expectedVersion, before);
      return describeDryRun(before, change.operations);
    }
    const accepted = await this.#append(change, options);
    if (accepted.isErr()) {
      throw createConfigurationFailure(accepted.error);
    }
    return describeAccepted(before, accepted.value);
  }

  /**
   * Makes a change that is worked out anew when another came first. `build`
   * returns no operations when nothing has to change.
   */
  async applyRebuilt(
    build: (current: FleetConfiguration) => Operation[],
    options: ChangeOptions,
  ): Promise<CommandResult> {
    for (let attempt = 1;; attempt++) {
      const before = await this.load();
      const operations = build(before);
      if (operations.length === 0) {
        return describeNothing(before);
      }
      if (options.dryRun) {
        return describeDryRun(before, operations);
      }
      const expectedVersion = before.version;
      const change = { operations, expectedVersion };
      const accepted = await this.#append(change, options);
      if (accepted.isOk()) {
        return describeAccepted(before, accepted.value);
      }
      if (!isConflict(accepted.error) || attempt === CHANGE_ATTEMPTS) {
        throw createConfigurationFailure(accepted.error);
      }
    }
  }

  #append(
    change: WantedChange,
    options: ChangeOptions,
  ): Promise<Result<Change, ConfigurationError[]>> {
    const environment = this.#environment;
    const author = options.author ?? environment.author;
    const append = this.#writer.append(
      { ...change, author },
      environment.signal,
    );
    const doing = "waiting for the platform to accept the change";
    return runWithProgress(append, { environment, doing });
  }
}

/** Finds a part by name; throws a CommandFailure when it is not there. */
export function findPart<Part>(
  parts: ReadonlyMap<string, Part>,
  wanted: { kind: string; name: string },
): Part {
  const part = parts.get(wanted.name);
  if (part === undefined) {
    const error = new ProductError({
      kind: ConfigurationErrorKind.NotFound,
      problem: `Cannot find the ${wanted.kind} "${wanted.name}"`,
      remedy: "check the name with `rattanvane configuration show`",
    });
    throw new CommandFailure(ExitCode.Invalid, [error]);
  }
  return part;
}

/** Shows what a change would do; throws a CommandFailure when it has faults. */
export function describeDryRun(
  before: FleetConfiguration,
  operations: Operation[],
): CommandResult {
  const version = before.version + 1;
  const applied = applyChange(before, { version, operations });
  if (applied.isErr()) {
    throw createConfigurationFailure(applied.error);
  }
  const changes = collectDifferences(operations, before);
  return {
    text: `${formatDifferences(changes)}\nDry run: nothing was changed`,
    value: { dryRun: true, version: before.version, changes },
  };
}

function describeAccepted(
  before: FleetConfiguration,
  change: Change,
): CommandResult {
  const changes = collectDifferences(change.operations, before);
  const { id, version } = change;
  return {
    text: `${formatDifferences(changes)}\nAccepted as version ${version}`,
    value: { dryRun: false, version, id, changes },
  };
}

function describeNothing(current: FleetConfiguration): CommandResult {
  const { version } = current;
  return {
    text: `Nothing to change at version ${version}`,
    value: { dryRun: false, version, changes: [] },
  };
}

function isConflict(errors: readonly ConfigurationError[]): boolean {
  return errors[0]?.kind === ConfigurationErrorKind.Conflict;
}

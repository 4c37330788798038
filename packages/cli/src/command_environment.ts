/** What commands get from the process, so that tests can stand in for it. */

import type { Clock, RandomSource } from "@rattanvane/base";
import type { ObjectStore, TableService } from "@rattanvane/platform";

/** The platform's services that commands use. */
export interface PlatformAccess {
  table: TableService;
  objects: ObjectStore;
}

/** An answer of a VM. */
export interface VmAnswer {
  status: number;
  body: string;
}

/** The outside of the commands. */
export interface CommandEnvironment {
  clock: Clock;
  random: RandomSource;
  /** Aborts when the user interrupts the command. */
  signal: AbortSignal;
  /** Who makes changes, unless `--author` says otherwise. */
  author: string;
  /** The operator's bearer key; undefined when it is not set. */
  operatorKey: string | undefined;
  /** Writes results to standard output. */
  print(text: string): void;
  /** Writes errors and progress to standard error. */
  printError(text: string): void;
  createId(): string;
  /** Creates a bearer key that cannot be guessed. */
  createKey(): string;
  connectPlatform(url: string): PlatformAccess;
  /** Sends a GET request to a VM; rejects when it cannot be reached. */
  readVm(url: string, key: string): Promise<VmAnswer>;
}

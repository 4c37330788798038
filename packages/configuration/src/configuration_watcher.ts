/** Polls the change log on the platform. */

import type { Clock, Logger, RandomSource } from "@rattanvane/base";
import type { ConfigurationError } from "./configuration_error.ts";
import type { ConfigurationLog } from "./configuration_log.ts";
import type { ConfigurationStore } from "./configuration_store.ts";

/** The poll interval varies by this fraction in both directions. */
const JITTER = 0.25;
/** The log is read if peers have not delivered a known version by then. */
const MAXIMUM_LAG_MILLISECONDS = 5_000;

/** Dependencies and settings of a configuration watcher. */
export interface ConfigurationWatcherOptions {
  log: ConfigurationLog;
  store: ConfigurationStore;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  pollMilliseconds: number;
  /** Whether this VM is currently one of its zone's two watchers. */
  isWatcher: () => boolean;
}

/**
 * Reads the log while this VM is a watcher, or if its peers have not delivered
 * a version that is known to exist. After a failure, it tries again at the next
 * poll.
 */
export class ConfigurationWatcher {
  readonly #options: ConfigurationWatcherOptions;
  #behindSince: number | undefined;
  #lastFailure: string | undefined;

  constructor(options: ConfigurationWatcherOptions) {
    this.#options = options;
  }

  /** Polls until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, isWatcher, pollMilliseconds, random } = this.#options;
    while (!signal.aborted) {
      const jitter = 1 - JITTER + 2 * JITTER * random.nextFraction();
      await clock.sleep(pollMilliseconds * jitter, signal);
      if (!signal.aborted && (isWatcher() || this.#isOverdue())) {
        await this.#poll(signal);
      }
    }
  }

  #isOverdue(): boolean {
    const { clock, random, store } = this.#options;
    if (!store.isBehind) {
      this.#behindSince = undefined;
      return false;
    }
    this.#behindSince ??= clock.now();
    // A random delay of up to 100 % keeps VMs from reading all at once.
    const timeout = MAXIMUM_LAG_MILLISECONDS * (1 + random.nextFraction());
    return clock.now() - this.#behindSince >= timeout;
  }

  async #poll(signal: AbortSignal): Promise<void> {
    const { log, logger, store } = this.#options;
    const before = store.current.version;
    const contents = await log.readAfter(before, signal);
    if (contents.isErr()) {
      this.#report(contents.error);
      return;
    }
    const { changes, snapshot } = contents.value;
    if (snapshot !== undefined) {
      store.receiveSnapshot(snapshot);
    }
    const received = store.receive(changes);
    if (received.isErr()) {
      this.#report(received.error);
      return;
    }
    this.#lastFailure = undefined;
    const { version } = store.current;
    if (version > before) {
      logger.info("read changes from the log", { version });
    }
  }

  /** Logs a persistent failure only once. */
  #report(error: ConfigurationError): void {
    if (this.#lastFailure === error.kind) {
      return;
    }
    this.#lastFailure = error.kind;
    this.#options.logger.warn(`cannot read the change log: ${error.message}`);
  }
}

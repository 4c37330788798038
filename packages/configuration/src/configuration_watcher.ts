/** Watches the change log on the platform. */

import type { Clock, Logger, RandomSource } from "@rattanvane/base";
import type { ConfigurationError } from "./configuration_error.ts";
import type { ConfigurationLog } from "./configuration_log.ts";
import type { ConfigurationStore } from "./configuration_store.ts";

/** A poll waits between 1 - JITTER and 1 + JITTER of the mean time. */
const JITTER = 0.25;
/** After this time without what peers should bring, the log is read. */
const LONGEST_LAG_MILLISECONDS = 5_000;

/** What a watcher is made of. */
export interface ConfigurationWatcherOptions {
  log: ConfigurationLog;
  store: ConfigurationStore;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  pollMilliseconds: number;
  /** Whether this VM is one of its zone's two watchers at the moment. */
  isWatcher: () => boolean;
}

/**
 * Reads the log while this VM is a watcher, or when its peers have not
 * brought a version that is known to exist. Failures are waited out.
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
      if (!signal.aborted && (isWatcher() || this.#isLeftBehind())) {
        await this.#poll(signal);
      }
    }
  }

  #isLeftBehind(): boolean {
    const { clock, random, store } = this.#options;
    if (!store.isBehind) {
      this.#behindSince = undefined;
      return false;
    }
    this.#behindSince ??= clock.now();
    // Spread over as long again, so that a whole fleet does not read at once.
    const patience = LONGEST_LAG_MILLISECONDS * (1 + random.nextFraction());
    return clock.now() - this.#behindSince >= patience;
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

  /** Logs a failure once, however long it lasts. */
  #report(error: ConfigurationError): void {
    if (this.#lastFailure === error.kind) {
      return;
    }
    this.#lastFailure = error.kind;
    this.#options.logger.warn(`cannot read the change log: ${error.message}`);
  }
}

/** Decides when a VM that starts empty may use its configuration. */

import type { Clock } from "@rattanvane/base";
import type { ConfigurationLog } from "./configuration_log.ts";
import type { ConfigurationStore } from "./configuration_store.ts";

const STEP_MILLISECONDS = 50;

/** What joining needs. */
export interface JoinOptions {
  log: ConfigurationLog;
  store: ConfigurationStore;
  clock: Clock;
  /** How long further peers may take to tell their versions after the first. */
  windowMilliseconds: number;
}

/**
 * Resolves when the store holds a configuration at least as new as the
 * platform says that there is or, without the platform, as the peers that were
 * heard within a window say. A restarted VM would otherwise serve from the
 * first configuration that it meets, perhaps an older one than it had.
 */
export async function waitUntilJoined(
  options: JoinOptions,
  signal: AbortSignal,
): Promise<void> {
  const { clock, log, store, windowMilliseconds } = options;
  let isHeadKnown = false;
  let firstHeardAt: number | undefined;
  log.readHead(signal).then((head) => {
    if (head.isOk()) {
      store.learnVersion(head.value.version);
      isHeadKnown = true;
    }
  });
  while (!signal.aborted) {
    if (store.knownVersion > 0) {
      firstHeardAt ??= clock.now();
    }
    const isHeard = firstHeardAt !== undefined &&
      clock.now() - firstHeardAt >= windowMilliseconds;
    const isDecided = isHeadKnown || isHeard;
    if (isDecided && store.current.version > 0 && !store.isBehind) {
      return;
    }
    await clock.sleep(STEP_MILLISECONDS, signal);
  }
}

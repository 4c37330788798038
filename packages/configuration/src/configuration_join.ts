/** Determines when a VM that starts empty may use its configuration. */

import type { Clock } from "@rattanvane/base";
import type { ConfigurationLog } from "./configuration_log.ts";
import type { ConfigurationStore } from "./configuration_store.ts";

const POLL_INTERVAL_MILLISECONDS = 50;

/** Dependencies and settings of joining. */
export interface JoinOptions {
  log: ConfigurationLog;
  store: ConfigurationStore;
  clock: Clock;
  /** How long to wait for further peers' versions after the first one. */
  windowMilliseconds: number;
}

/**
 * Resolves when the store's configuration is at least as new as the platform's
 * head or, while the platform is unavailable, as the versions that peers
 * announced within a window. Otherwise a restarted VM would serve from the
 * first configuration that it receives, which may be older than its last one.
 */
export async function waitUntilJoined(
  options: JoinOptions,
  signal: AbortSignal,
): Promise<void> {
  const { clock, log, store, windowMilliseconds } = options;
  let isHeadKnown = false;
  let firstReportAt: number | undefined;
  log.readHead(signal).then((head) => {
    if (head.isOk()) {
      store.receiveVersion(head.value.version);
      isHeadKnown = true;
    }
  });
  while (!signal.aborted) {
    if (store.knownVersion > 0) {
      firstReportAt ??= clock.now();
    }
    const isWindowOver = firstReportAt !== undefined &&
      clock.now() - firstReportAt >= windowMilliseconds;
    const isDecided = isHeadKnown || isWindowOver;
    if (isDecided && store.current.version > 0 && !store.isBehind) {
      return;
    }
    await clock.sleep(POLL_INTERVAL_MILLISECONDS, signal);
  }
}

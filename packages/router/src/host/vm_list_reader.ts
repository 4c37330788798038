/** Seeds the membership from the platform's list of VMs. */

import type { Clock, Logger, RandomSource } from "@rattanvane/base";
import type { Membership } from "@rattanvane/membership";
import type { VmList } from "@rattanvane/platform";

/** The list only seeds, so it is read rarely: it is long in a large fleet. */
const PERIOD_MILLISECONDS = 60_000;
const RETRY_MILLISECONDS = 2_000;
const LEAST_PERIOD_SHARE = 0.5;

/** What the reader works with. */
export interface VmListReaderOptions {
  vms: VmList;
  membership: Membership;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
}

/** Reads the list until the signal aborts. */
export async function runVmListReader(
  options: VmListReaderOptions,
  signal: AbortSignal,
): Promise<void> {
  const { vms, membership, clock, random, logger } = options;
  while (!signal.aborted) {
    const listed = await vms.list(signal);
    if (listed.isOk()) {
      membership.addSeeds(listed.value);
    } else {
      logger.debug("could not read the platform's list of VMs", {
        reason: listed.error.message,
      });
    }
    const period = listed.isOk() ? PERIOD_MILLISECONDS : RETRY_MILLISECONDS;
    const jitter = LEAST_PERIOD_SHARE + random.nextFraction();
    await clock.sleep(period * jitter, signal);
  }
}

/** Adds the VMs that the platform lists to the membership as seeds. */

import type { Clock, Logger, RandomSource } from "@rattanvane/base";
import type { Membership } from "@rattanvane/membership";
import type { VmList } from "@rattanvane/platform";

/** Long, because the list is large in a large fleet and only provides seeds. */
const READ_PERIOD_MILLISECONDS = 60_000;
const RETRY_MILLISECONDS = 2_000;
const MINIMUM_PERIOD_FRACTION = 0.5;

/** Dependencies of the reader. */
export interface VmListReaderOptions {
  vms: VmList;
  membership: Membership;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
}

/** Reads the list periodically until the signal aborts. */
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
    const period = listed.isOk()
      ? READ_PERIOD_MILLISECONDS
      : RETRY_MILLISECONDS;
    const jitter = MINIMUM_PERIOD_FRACTION + random.nextFraction();
    await clock.sleep(period * jitter, signal);
  }
}

/** Creates the clients of the platform services. */

import type { Clock, RandomSource } from "@rattanvane/base";
import {
  HttpObjectStore,
  HttpTableService,
  HttpVmList,
  type ObjectStore,
  PlatformBudget,
  type PlatformErrorKind,
  PlatformTransport,
  type TableService,
  type VmList,
} from "@rattanvane/platform";
import type { RouterSettings } from "@rattanvane/settings";

/** The platform clients of one VM, which share one request budget. */
export interface PlatformClients {
  table: TableService;
  objects: ObjectStore;
  vms: VmList;
}

/** Creates the clients; the signal closes their connections. */
export function createPlatformClients(
  settings: RouterSettings,
  options: {
    clock: Clock;
    random: RandomSource;
    countFailure: (kind: PlatformErrorKind) => void;
  },
  signal: AbortSignal,
): PlatformClients {
  const { clock, random, countFailure } = options;
  const { platform, listen } = settings;
  const budget = new PlatformBudget(platform, { clock, random });
  const transport = new PlatformTransport({
    url: platform.url,
    clock,
    random,
    budget,
    deadlineMilliseconds: platform.requestTimeoutMilliseconds,
    localAddress: listen.host,
    countFailure,
  }, signal);
  return {
    table: new HttpTableService(transport),
    objects: new HttpObjectStore(transport),
    vms: new HttpVmList(transport),
  };
}

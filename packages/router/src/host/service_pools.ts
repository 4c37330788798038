/** Looks up the pools of a configuration by service and zone. */

import type { FleetConfiguration } from "@rattanvane/configuration";
import type { PoolId, ServiceId, ZoneId } from "@rattanvane/protocol";

/** The pools of one configuration, by service and by zone. */
class PoolIndex {
  readonly byService = new Map<ServiceId, PoolId[]>();
  readonly byZone = new Map<ZoneId, PoolId[]>();

  constructor(configuration: FleetConfiguration) {
    const seen = new Set<string>();
    for (const { zone, service } of configuration.endpoints.values()) {
      const key = `${zone}/${service}`;
      if (!seen.has(key)) {
        seen.add(key);
        addPool(this.byService, { key: service, pool: { zone, service } });
        addPool(this.byZone, { key: zone, pool: { zone, service } });
      }
    }
  }
}

/** Caches one index for each set of endpoints. */
const indexes = new WeakMap<object, PoolIndex>();

/** Lists the pools that have endpoints of a service. */
export function listServicePools(
  service: ServiceId,
  configuration: FleetConfiguration | undefined,
): PoolId[] {
  return findIndex(configuration)?.byService.get(service) ?? [];
}

/** Lists the pools of a zone. */
export function listZonePools(
  zone: ZoneId,
  configuration: FleetConfiguration | undefined,
): PoolId[] {
  return findIndex(configuration)?.byZone.get(zone) ?? [];
}

function findIndex(
  configuration: FleetConfiguration | undefined,
): PoolIndex | undefined {
  if (configuration === undefined) {
    return undefined;
  }
  const cached = indexes.get(configuration.endpoints);
  if (cached !== undefined) {
    return cached;
  }
  const index = new PoolIndex(configuration);
  indexes.set(configuration.endpoints, index);
  return index;
}

function addPool(
  pools: Map<string, PoolId[]>,
  entry: { key: string; pool: PoolId },
): void {
  const list = pools.get(entry.key) ?? [];
  list.push(entry.pool);
  pools.set(entry.key, list);
}

/** Gauges whose values are read when the metrics are scraped. */

import type { TrafficCounters } from "@rattanvane/protocol";
import type { PoolStatus } from "@rattanvane/scheduling";
import { Gauge, type Registry } from "prom-client";

/** Sources of the values, called on each scrape. */
export interface GaugeSources {
  countWaiting: () => number;
  countRunning: () => number;
  listPools: () => PoolStatus[];
  countQuarantined: () => number;
  countLiveVms: () => number;
  readConfigurationVersion: () => number;
  readTraffic: () => TrafficCounters;
}

interface GaugeDescription {
  name: string;
  help: string;
  read: () => number;
}

/** Registers the gauges without labels. */
export function registerCurrentGauges(
  registry: Registry,
  sources: GaugeSources,
): void {
  const gauges = [...listRoleGauges(sources), ...listFleetGauges(sources)];
  for (const { name, help, read } of gauges) {
    new Gauge({
      name,
      help,
      registers: [registry],
      collect() {
        this.set(read());
      },
    });
  }
}

function listRoleGauges(sources: GaugeSources): GaugeDescription[] {
  const countPools = (leased: boolean) =>
    sources.listPools().filter((pool) => pool.leased === leased).length;
  return [
    {
      name: "rattanvane_ingress_waiting_requests",
      help: "Requests that wait for a grant at this VM.",
      read: sources.countWaiting,
    },
    {
      name: "rattanvane_ingress_running_requests",
      help: "Requests of this VM that run at an endpoint.",
      read: sources.countRunning,
    },
    {
      name: "rattanvane_scheduler_pools_count",
      help: "Pools that this VM schedules.",
      read: () => sources.listPools().length,
    },
    {
      name: "rattanvane_scheduler_leased_pools_count",
      help: "Pools that this VM schedules under a lease of the platform.",
      read: () => countPools(true),
    },
    {
      name: "rattanvane_scheduler_unleased_pools_count",
      help: "Pools that this VM schedules without a lease of the platform.",
      read: () => countPools(false),
    },
    {
      name: "rattanvane_limits_quarantined_fingerprints_count",
      help: "Request bodies that this VM's schedulers refuse after crashes.",
      read: sources.countQuarantined,
    },
  ];
}

function listFleetGauges(sources: GaugeSources): GaugeDescription[] {
  const { readTraffic } = sources;
  return [
    {
      name: "rattanvane_membership_live_vms_count",
      help: "VMs of the own zone that are believed to be live.",
      read: sources.countLiveVms,
    },
    {
      name: "rattanvane_configuration_version_number",
      help: "Version of the configuration in force; 0 when there is none.",
      read: sources.readConfigurationVersion,
    },
    {
      name: "rattanvane_protocol_sent_bytes",
      help: "Bytes of control messages sent since the start.",
      read: () => readTraffic().sentBytes,
    },
    {
      name: "rattanvane_protocol_received_bytes",
      help: "Bytes of control messages received since the start.",
      read: () => readTraffic().receivedBytes,
    },
    {
      name: "rattanvane_protocol_dropped_messages",
      help: "Control messages dropped since the start, by full or dead links.",
      read: () => readTraffic().droppedMessages,
    },
    {
      name: "rattanvane_protocol_lost_links",
      help: "Links to peers that broke since the start.",
      read: () => readTraffic().lostLinks,
    },
  ];
}

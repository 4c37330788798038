/** Processor time, memory and control bytes of router processes. */

import { readFile } from "node:fs/promises";
import { request } from "undici";
import { BenchError, BenchErrorKind } from "../common/bench_error.ts";
import type { FleetRouter } from "../fleet/fleet_router.ts";

const OK = 200;
const TICKS_PER_SECOND = 100;
const BYTES_PER_KIBIBYTE = 1024;
/** Places of utime and stime after the command's name in /proc/PID/stat. */
const USER_FIELD = 11;
const SYSTEM_FIELD = 12;

/** What a router has used since its start. */
export interface RouterUsage {
  processorSeconds: number;
  residentBytes: number;
  sentBytes: number;
  receivedBytes: number;
}

/** Reads one router's usage. */
export async function readRouterUsage(
  router: FleetRouter,
  operatorKey: string,
): Promise<RouterUsage> {
  const { processId } = router.process;
  const metrics = await readMetrics(router.callerUrl, operatorKey);
  const stat = await readFile(`/proc/${processId}/stat`, "utf8");
  const status = await readFile(`/proc/${processId}/status`, "utf8");
  return {
    processorSeconds: parseProcessorSeconds(stat),
    residentBytes: parseResidentBytes(status),
    sentBytes: parseMetric(metrics, "rattanvane_protocol_sent_bytes"),
    receivedBytes: parseMetric(metrics, "rattanvane_protocol_received_bytes"),
  };
}

/** Parses the processor time out of /proc/PID/stat. */
export function parseProcessorSeconds(stat: string): number {
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD]);
  return ticks / TICKS_PER_SECOND;
}

/** Parses the resident memory out of /proc/PID/status. */
export function parseResidentBytes(status: string): number {
  const kibibytes = /^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1];
  return Number(kibibytes) * BYTES_PER_KIBIBYTE;
}

/** Parses a metric without labels; NaN when it is not there. */
export function parseMetric(text: string, name: string): number {
  const line = text.split("\n").find((each) => each.startsWith(`${name} `));
  return Number(line?.slice(name.length + 1));
}

/** Reads a router's metrics as text. */
export async function readMetrics(
  url: string,
  operatorKey: string,
): Promise<string> {
  const response = await request(`${url}/metrics`, {
    headers: { authorization: `Bearer ${operatorKey}` },
  });
  const text = await response.body.text();
  if (response.statusCode !== OK) {
    throw new BenchError(
      BenchErrorKind.Broken,
      `The router at "${url}" refused its metrics: ${text}`,
    );
  }
  return text;
}

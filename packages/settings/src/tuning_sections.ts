/** The sections of the settings that have defaults throughout. */

import { z } from "zod";
import { buildFraction, buildInteger, buildSection } from "./schema_parts.ts";

const MINUTE_MILLISECONDS = 60_000;
const HOUR_MILLISECONDS = 60 * MINUTE_MILLISECONDS;
const DAY_MILLISECONDS = 24 * HOUR_MILLISECONDS;
const KIBIBYTE = 1_024;
const MEBIBYTE = 1_024 * KIBIBYTE;

const shortTime = buildInteger({ least: 1, most: 10 * MINUTE_MILLISECONDS });
const retention = buildInteger({ least: 1_000, most: 30 * DAY_MILLISECONDS });
const longTime = buildInteger({ least: 1, most: DAY_MILLISECONDS });

/** Builds the section that bounds what one VM holds for callers. */
export function buildLimitsSection() {
  return buildSection({
    bodyBytes: buildInteger({ least: KIBIBYTE, most: 256 * MEBIBYTE })
      .default(4 * MEBIBYTE).describe("The longest body of a request."),
    headerBytes: buildInteger({ least: KIBIBYTE, most: MEBIBYTE })
      .default(16 * KIBIBYTE)
      .describe("The most bytes of a request's headers."),
    headersTimeoutMilliseconds: shortTime.default(10_000)
      .describe("How long a caller may take to send the headers."),
    bodyTimeoutMilliseconds: shortTime.default(30_000)
      .describe("How long a caller may take to send the body."),
    waitingRequests: buildInteger({ least: 1, most: 1_000_000 })
      .default(2_000)
      .describe("The most requests that wait or run at this VM at once."),
    answerBufferBytes: buildInteger({
      least: KIBIBYTE,
      most: 64 * MEBIBYTE,
    }).default(256 * KIBIBYTE).describe(
      "The most bytes of one answer that are held for a slow caller.",
    ),
  }).prefault({});
}

/** Builds the section on the course of a request. */
export function buildRequestsSection() {
  return buildSection({
    defaultDeadlineMilliseconds: longTime.default(5 * MINUTE_MILLISECONDS)
      .describe("How long a request may take if its caller names no deadline."),
    firstByteTimeoutMilliseconds: longTime.default(MINUTE_MILLISECONDS)
      .describe("How long an endpoint may take to begin its answer."),
    idleTimeoutMilliseconds: longTime.default(30_000)
      .describe("How long an endpoint may pause in the middle of an answer."),
    retryBudgetRatio: buildFraction(1).default(0.2).describe(
      "The most retries of an organisation at a service, as a part of its " +
        "requests.",
    ),
  }).prefault({});
}

/** Builds the section on failure detection. */
export function buildMembershipSection() {
  return buildSection({
    probePeriodMilliseconds: shortTime.default(200)
      .describe("The time between two probes that this VM sends."),
    probeTimeoutMilliseconds: shortTime.default(150)
      .describe("How long a probe waits before other VMs are asked to probe."),
    suspicionMilliseconds: shortTime.default(1_050)
      .describe("How long a suspected VM may refute before it counts as dead."),
    indirectProbes: buildInteger({ least: 0, most: 20 }).default(3)
      .describe("How many other VMs are asked to probe a silent one."),
    contactsPerZone: buildInteger({ least: 1, most: 20 }).default(3)
      .describe("How many VMs of each other zone are kept in contact."),
  }).prefault({});
}

/** Builds the section on schedulers. */
export function buildSchedulingSection() {
  return buildSection({
    leaseMilliseconds: shortTime.default(6_000)
      .describe("How long a scheduler's lease on a pool lasts."),
    rebuildMilliseconds: shortTime.default(500).describe(
      "How long a new scheduler waits for the reports of the zone's VMs.",
    ),
    counterPeriodMilliseconds: shortTime.default(200).describe(
      "The shortest time between two exchanges of service counters with other zones.",
    ),
    offerPeriodMilliseconds: shortTime.default(50).describe(
      "The time between two offers of free slots to other zones.",
    ),
    loadPeriodMilliseconds: shortTime.default(500)
      .describe("The time between two reads of an endpoint's load report."),
    quarantineMilliseconds: longTime.default(10 * MINUTE_MILLISECONDS)
      .describe("How long a request that crashed two endpoints is refused."),
  }).prefault({});
}

/** Builds the section on the fleet's configuration. */
export function buildConfigurationSection() {
  return buildSection({
    pollMilliseconds: shortTime.default(1_000).describe(
      "The mean time between two reads of the change log by one of a zone's " +
        "two watchers.",
    ),
  }).prefault({});
}

/** Builds the section on calls that must not be repeated. */
export function buildOnceSection() {
  return buildSection({
    requireDatedKeys: z.boolean("true or false").default(true).describe(
      "Whether a caller's key must be a UUIDv7. Without its date, a key that " +
        "is used again after undatedRetentionMilliseconds runs again.",
    ),
    keyWindowMilliseconds: retention.default(DAY_MILLISECONDS).describe(
      "The age, by its own date, at which a caller's key is refused.",
    ),
    undatedRetentionMilliseconds: retention.default(7 * DAY_MILLISECONDS)
      .describe("How long the use of a key without a date is remembered."),
    resultRetentionMilliseconds: retention.default(HOUR_MILLISECONDS)
      .describe("How long the result of a key's call is kept."),
    batchMilliseconds: buildInteger({ least: 0, most: 1_000 }).default(20)
      .describe("How long a row waits for others to be written with it."),
  }).prefault({});
}

/** Builds the section on the end of the process. */
export function buildShutdownSection() {
  return buildSection({
    noticeMilliseconds: buildInteger({
      least: 0,
      most: 10 * MINUTE_MILLISECONDS,
    })
      .default(10_000).describe(
        "How long a VM that leaves still takes requests while /readyz fails; " +
          "longer than the balancer takes to notice.",
      ),
    longestMilliseconds: longTime.default(330_000).describe(
      "How long a graceful shutdown waits for running requests.",
    ),
  }).prefault({});
}

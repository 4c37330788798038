/** Schemas of the optional settings sections, in which every key has a default. */

import { z } from "zod";
import { buildFraction, buildInteger, buildSection } from "./schema_parts.ts";

const MINUTE_MILLISECONDS = 60_000;
const HOUR_MILLISECONDS = 60 * MINUTE_MILLISECONDS;
const DAY_MILLISECONDS = 24 * HOUR_MILLISECONDS;
const KIBIBYTE = 1_024;
const MEBIBYTE = 1_024 * KIBIBYTE;

const shortDuration = buildInteger({
  minimum: 1,
  maximum: 10 * MINUTE_MILLISECONDS,
});
const retention = buildInteger({
  minimum: 1_000,
  maximum: 30 * DAY_MILLISECONDS,
});
const longDuration = buildInteger({ minimum: 1, maximum: DAY_MILLISECONDS });

/** Builds the section on resource limits of caller requests at one VM. */
export function buildLimitsSection() {
  return buildSection({
    bodyBytes: buildInteger({ minimum: KIBIBYTE, maximum: 256 * MEBIBYTE })
      .default(4 * MEBIBYTE).describe("The maximum size of a request body."),
    heldBytes: buildInteger({
      minimum: MEBIBYTE,
      maximum: 4_096 * MEBIBYTE,
    }).default(16 * MEBIBYTE).describe(
      "The maximum size of all request bodies, and of responses that callers " +
        "have not taken, that this VM holds.",
    ),
    headerBytes: buildInteger({ minimum: KIBIBYTE, maximum: MEBIBYTE })
      .default(16 * KIBIBYTE)
      .describe("The maximum total size of a request's headers."),
    headersTimeoutMilliseconds: shortDuration.default(10_000)
      .describe("The time-out for receiving a request's headers."),
    bodyTimeoutMilliseconds: shortDuration.default(30_000)
      .describe("The time-out for receiving a request's body."),
    waitingRequests: buildInteger({ minimum: 1, maximum: 1_000_000 })
      .default(2_000)
      .describe(
        "The maximum number of queued and running requests at this VM.",
      ),
    answerBufferBytes: buildInteger({
      minimum: KIBIBYTE,
      maximum: 64 * MEBIBYTE,
    }).default(256 * KIBIBYTE).describe(
      "The maximum size of response data buffered for a slow caller.",
    ),
  }).prefault({});
}

/** Builds the section on request processing. */
export function buildRequestsSection() {
  return buildSection({
    defaultDeadlineMilliseconds: longDuration.default(5 * MINUTE_MILLISECONDS)
      .describe("The deadline of requests whose caller sets none."),
    firstByteTimeoutMilliseconds: longDuration.default(MINUTE_MILLISECONDS)
      .describe("The time-out for the first byte of an endpoint's response."),
    idleTimeoutMilliseconds: longDuration.default(30_000)
      .describe(
        "The maximum pause between two parts of an endpoint's response.",
      ),
    retryBudgetRatio: buildFraction(1).default(0.2).describe(
      "The maximum ratio of retries to requests, for each organisation at a " +
        "service.",
    ),
  }).prefault({});
}

/** Builds the section on failure detection. */
export function buildMembershipSection() {
  return buildSection({
    probePeriodMilliseconds: shortDuration.default(200)
      .describe("The interval between probes that this VM sends."),
    probeTimeoutMilliseconds: shortDuration.default(150)
      .describe(
        "The time-out of a direct probe, after which indirect probes are sent.",
      ),
    suspicionMilliseconds: shortDuration.default(1_050)
      .describe(
        "How long a suspected VM has to refute before it is declared dead.",
      ),
    indirectProbes: buildInteger({ minimum: 0, maximum: 20 }).default(3)
      .describe(
        "The number of VMs asked to probe an unresponsive VM indirectly.",
      ),
    contactsPerZone: buildInteger({ minimum: 1, maximum: 20 }).default(3)
      .describe(
        "The number of VMs in each other zone with which contact is maintained.",
      ),
  }).prefault({});
}

/** Builds the section on schedulers. */
export function buildSchedulingSection() {
  return buildSection({
    leaseMilliseconds: shortDuration.default(6_000)
      .describe("The duration of a scheduler's lease on a pool."),
    rebuildMilliseconds: shortDuration.default(500).describe(
      "How long a new scheduler waits for the reports of the zone's VMs.",
    ),
    counterPeriodMilliseconds: shortDuration.default(200).describe(
      "The minimum interval between exchanges of service counters with other zones.",
    ),
    offerPeriodMilliseconds: shortDuration.default(50).describe(
      "The interval between offers of free slots to other zones.",
    ),
    loadPeriodMilliseconds: shortDuration.default(500)
      .describe("The interval between reads of an endpoint's load report."),
    quarantineMilliseconds: longDuration.default(10 * MINUTE_MILLISECONDS)
      .describe("How long a request that crashed two endpoints is rejected."),
  }).prefault({});
}

/** Builds the section on the fleet's configuration. */
export function buildConfigurationSection() {
  return buildSection({
    pollMilliseconds: shortDuration.default(1_000).describe(
      "The mean interval between reads of the change log by one of a zone's " +
        "two watchers.",
    ),
  }).prefault({});
}

/** Builds the section on calls with idempotency keys, which run at most once. */
export function buildOnceSection() {
  return buildSection({
    requireDatedKeys: z.boolean("true or false").default(true).describe(
      "Whether a caller's key must be a UUIDv7. A key without a timestamp that " +
        "is reused after undatedRetentionMilliseconds runs again.",
    ),
    keyWindowMilliseconds: retention.default(DAY_MILLISECONDS).describe(
      "The age, by its timestamp, at which a caller's key is rejected.",
    ),
    undatedRetentionMilliseconds: retention.default(7 * DAY_MILLISECONDS)
      .describe("How long the use of a key without a timestamp is recorded."),
    resultRetentionMilliseconds: retention.default(HOUR_MILLISECONDS)
      .describe("How long the result of a key's call is retained."),
    batchMilliseconds: buildInteger({ minimum: 0, maximum: 1_000 }).default(20)
      .describe("How long a row write waits to be batched with others."),
  }).prefault({});
}

/** Builds the section on shutdown. */
export function buildShutdownSection() {
  return buildSection({
    noticeMilliseconds: buildInteger({
      minimum: 0,
      maximum: 10 * MINUTE_MILLISECONDS,
    })
      .default(10_000).describe(
        "How long a departing VM still accepts requests while /readyz fails; " +
          "must exceed the load balancer's detection time.",
      ),
    longestMilliseconds: longDuration.default(330_000).describe(
      "The maximum time that a graceful shutdown waits for running requests.",
    ),
  }).prefault({});
}

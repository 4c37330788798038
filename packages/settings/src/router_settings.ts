/** The schema of the router's settings file. */

import { LogLevel } from "@rattanvane/base";
import { z } from "zod";
import {
  baseUrlSchema,
  buildFraction,
  buildInteger,
  buildList,
  buildSection,
  hostSchema,
  nameSchema,
  portSchema,
} from "./schema_parts.ts";
import {
  buildConfigurationSection,
  buildLimitsSection,
  buildMembershipSection,
  buildOnceSection,
  buildRequestsSection,
  buildSchedulingSection,
  buildShutdownSection,
} from "./tuning_sections.ts";

const MINIMUM_KEY_CHARACTERS = 32;
const MAXIMUM_PLATFORM_TIMEOUT_MILLISECONDS = 60_000;
const MAXIMUM_SEED = 0x7fffffff;
const MAXIMUM_RATE_PER_SECOND = 100_000;

const KEY_ACCEPTED =
  `a string of at least ${MINIMUM_KEY_CHARACTERS} characters`;
const KEYS_ACCEPTED = "a list with at least one key";
const HASH_ACCEPTED = "a SHA-256 hash in 64 lower-case hexadecimal digits";
const LEVEL_ACCEPTED = `one of ${Object.values(LogLevel).join(", ")}`;

const listenSchema = buildSection({
  host: hostSchema.describe("The IP address on which the router listens."),
  callerPort: portSchema.describe("The port for callers."),
  controlPort: portSchema.describe("The port for the other routers."),
});

const advertiseSchema = buildSection({
  host: hostSchema.describe(
    "The IP address at which other routers reach this one, if it differs " +
      "from the listen address.",
  ),
  callerPort: portSchema.describe("The externally visible port for callers."),
  controlPort: portSchema.describe("The externally visible control port."),
});

const platformSchema = buildSection({
  url: baseUrlSchema.describe(
    "The base URL of the platform's table, object store and VM list.",
  ),
  requestTimeoutMilliseconds: buildInteger({
    minimum: 10,
    maximum: MAXIMUM_PLATFORM_TIMEOUT_MILLISECONDS,
  }).default(1_000).describe("The time-out of a call to the platform."),
  readsPerSecond: buildFraction(MAXIMUM_RATE_PER_SECOND).default(100).describe(
    "The maximum rate of reads that this VM sends to the platform. Divide " +
      "the platform's capacity among the VMs: with 420 VMs, set 4.",
  ),
  writesPerSecond: buildFraction(MAXIMUM_RATE_PER_SECOND).default(40).describe(
    "The maximum rate of writes that this VM sends to the platform. Divide " +
      "the platform's capacity among the VMs: with 420 VMs, set 1.",
  ),
});

const peerSchema = buildSection({
  vm: nameSchema.describe("The name of an initial peer VM."),
  zone: nameSchema.describe("Its availability zone."),
  host: hostSchema.describe("Its IP address."),
  controlPort: portSchema.describe("Its control port."),
  callerPort: portSchema.describe("Its port for callers."),
});

/** Schema of the settings file, with accepted values, defaults and descriptions. */
export const routerSettingsSchema = buildSection({
  vm: nameSchema.describe("The name of this VM; unique in the fleet."),
  zone: nameSchema.describe("The availability zone of this VM."),
  region: nameSchema.describe("The region of the zone."),
  listen: listenSchema,
  advertise: advertiseSchema.optional(),
  platform: platformSchema,
  fleetKeys: z.array(
    z.string(KEY_ACCEPTED).min(MINIMUM_KEY_CHARACTERS, KEY_ACCEPTED),
    KEYS_ACCEPTED,
  ).min(1, KEYS_ACCEPTED).describe(
    "The keys with which routers authenticate each other. The first is used " +
      "for outgoing connections; all are accepted, so that keys can be rotated.",
  ),
  operatorKeyHashes: buildList(
    z.string(HASH_ACCEPTED).regex(/^[0-9a-f]{64}$/, HASH_ACCEPTED),
  ).default([]).describe(
    "SHA-256 hashes of the keys that grant access to a VM's status and metrics.",
  ),
  peers: buildList(peerSchema).default([]).describe(
    "Initial peers to contact while the platform is unreachable. This VM may be " +
      "listed; its entry is ignored.",
  ),
  log: buildSection({
    level: z.enum(LogLevel, LEVEL_ACCEPTED).default(LogLevel.Info).describe(
      "The minimum severity that is logged.",
    ),
  }).prefault({}),
  seed: buildInteger({ minimum: 0, maximum: MAXIMUM_SEED }).optional().describe(
    "The seed of the random number generator, for reproducible runs. " +
      "If unset, each start uses a different seed.",
  ),
  limits: buildLimitsSection(),
  requests: buildRequestsSection(),
  membership: buildMembershipSection(),
  scheduling: buildSchedulingSection(),
  configuration: buildConfigurationSection(),
  once: buildOnceSection(),
  shutdown: buildShutdownSection(),
});

type ParsedSettings = z.output<typeof routerSettingsSchema>;

/** The router's settings with all defaults applied. */
export interface RouterSettings extends ParsedSettings {
  advertise: z.output<typeof advertiseSchema>;
}

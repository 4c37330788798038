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

const LEAST_KEY_CHARACTERS = 32;
const LONGEST_PLATFORM_TIMEOUT_MILLISECONDS = 60_000;
const HIGHEST_SEED = 0x7fffffff;
const HIGHEST_RATE_PER_SECOND = 100_000;

const KEY_ACCEPTED = `a text of at least ${LEAST_KEY_CHARACTERS} characters`;
const KEYS_ACCEPTED = "a list with at least one key";
const HASH_ACCEPTED = "a SHA-256 hash in 64 lower-case hexadecimal digits";
const LEVEL_ACCEPTED = `one of ${Object.values(LogLevel).join(", ")}`;

const listenSchema = buildSection({
  host: hostSchema.describe("The IP number on which the router listens."),
  callerPort: portSchema.describe("The port for callers."),
  controlPort: portSchema.describe("The port for the other routers."),
});

const advertiseSchema = buildSection({
  host: hostSchema.describe(
    "The IP number by which other routers reach this one, if it is not the " +
      "one that it listens on.",
  ),
  callerPort: portSchema.describe("The port for callers, as others see it."),
  controlPort: portSchema.describe("The control port, as others see it."),
});

const platformSchema = buildSection({
  url: baseUrlSchema.describe(
    "Where the platform's table, object store and VM list are.",
  ),
  requestTimeoutMilliseconds: buildInteger({
    least: 10,
    most: LONGEST_PLATFORM_TIMEOUT_MILLISECONDS,
  }).default(1_000).describe("How long one call to the platform may take."),
  readsPerSecond: buildFraction(HIGHEST_RATE_PER_SECOND).default(100).describe(
    "The most reads that this VM sends to the platform. Give each VM its " +
      "part of what the platform handles: with 420 VMs, set 4.",
  ),
  writesPerSecond: buildFraction(HIGHEST_RATE_PER_SECOND).default(40).describe(
    "The most writes that this VM sends to the platform, as above: with 420 " +
      "VMs, set 1.",
  ),
});

const peerSchema = buildSection({
  vm: nameSchema.describe("The name of a VM to start from."),
  zone: nameSchema.describe("Its availability zone."),
  host: hostSchema.describe("Its IP number."),
  controlPort: portSchema.describe("Its control port."),
  callerPort: portSchema.describe("Its port for callers."),
});

/** The settings file, with what is accepted, defaults and descriptions. */
export const routerSettingsSchema = buildSection({
  vm: nameSchema.describe("The name of this VM; unique in the fleet."),
  zone: nameSchema.describe("The availability zone of this VM."),
  region: nameSchema.describe("The region of the zone."),
  listen: listenSchema,
  advertise: advertiseSchema.optional(),
  platform: platformSchema,
  fleetKeys: z.array(
    z.string(KEY_ACCEPTED).min(LEAST_KEY_CHARACTERS, KEY_ACCEPTED),
    KEYS_ACCEPTED,
  ).min(1, KEYS_ACCEPTED).describe(
    "The keys that routers prove to each other. The first is used when " +
      "dialling; all are accepted, so that keys can be rotated.",
  ),
  operatorKeyHashes: buildList(
    z.string(HASH_ACCEPTED).regex(/^[0-9a-f]{64}$/, HASH_ACCEPTED),
  ).default([]).describe(
    "SHA-256 hashes of the keys that may read a VM's status and metrics.",
  ),
  peers: buildList(peerSchema).default([]).describe(
    "VMs to start from while the platform cannot be reached. This VM may be " +
      "in the list; it is passed over.",
  ),
  log: buildSection({
    level: z.enum(LogLevel, LEVEL_ACCEPTED).default(LogLevel.Info).describe(
      "How much is logged.",
    ),
  }).prefault({}),
  seed: buildInteger({ least: 0, most: HIGHEST_SEED }).optional().describe(
    "The seed of all random choices, for a run that can be repeated. " +
      "Without one, each start differs.",
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

/** The router's settings, complete with defaults. */
export interface RouterSettings extends ParsedSettings {
  advertise: z.output<typeof advertiseSchema>;
}

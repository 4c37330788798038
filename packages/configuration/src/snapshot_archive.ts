/** Configuration snapshots in the platform's object store. */

import { promisify } from "node:util";
import { gunzip, gzip } from "node:zlib";
import { describeError } from "@rattanvane/base";
import type { ObjectStore } from "@rattanvane/platform";
import { err, ok, type Result } from "neverthrow";
import { decodeSnapshot, encodeSnapshot } from "./change_codec.ts";
import {
  ConfigurationError,
  ConfigurationErrorKind,
} from "./configuration_error.ts";
import { convertPlatformError } from "./convert_platform_error.ts";
import {
  formatSnapshotName,
  parseSnapshotName,
  SNAPSHOT_PREFIX,
} from "./log_rows.ts";
import type { FleetConfiguration } from "./model.ts";

/** A reader may still be using the second newest snapshot. */
const RETAINED_SNAPSHOTS = 2;

const compress = promisify(gzip);
const decompress = promisify(gunzip);

/** Encodes a configuration as gzip-compressed JSON. */
export function encodeCompressedSnapshot(
  configuration: FleetConfiguration,
): Promise<Uint8Array> {
  return compress(encodeSnapshot(configuration));
}

/** Decodes a configuration from gzip-compressed JSON. */
export async function decodeCompressedSnapshot(
  content: Uint8Array,
): Promise<Result<FleetConfiguration, ConfigurationError>> {
  try {
    return decodeSnapshot((await decompress(content)).toString("utf8"));
  } catch (error) {
    return err(
      new ConfigurationError({
        kind: ConfigurationErrorKind.Unreadable,
        problem: `Cannot read a compressed snapshot: ${describeError(error)}`,
        remedy: "fetch it again from another VM or from the object store",
        cause: error,
      }),
    );
  }
}

/** Stores snapshots and deletes outdated ones. */
export class SnapshotArchive {
  readonly #objects: ObjectStore;

  constructor(objects: ObjectStore) {
    this.#objects = objects;
  }

  /** Lists the versions of all snapshots, oldest first. */
  async listVersions(
    signal: AbortSignal,
  ): Promise<Result<number[], ConfigurationError>> {
    const names = await this.#objects.list(SNAPSHOT_PREFIX, signal);
    return names.mapErr(convertPlatformError)
      .map((all) =>
        all.map(parseSnapshotName).filter((version) => version !== undefined)
          .sort((first, second) => first - second)
      );
  }

  /** Reads the newest snapshot; undefined if there is none. */
  async readNewest(
    signal: AbortSignal,
  ): Promise<Result<FleetConfiguration | undefined, ConfigurationError>> {
    const versions = await this.listVersions(signal);
    if (versions.isErr()) {
      return err(versions.error);
    }
    const newest = versions.value.at(-1);
    if (newest === undefined) {
      return ok(undefined);
    }
    const content = await this.#objects.get(formatSnapshotName(newest), signal);
    if (content.isErr()) {
      return err(convertPlatformError(content.error));
    }
    return content.value === undefined
      ? ok(undefined)
      : await decodeCompressedSnapshot(content.value);
  }

  /**
   * Writes a snapshot and deletes outdated ones. Returns the version of the
   * oldest remaining snapshot; log rows up to that version are obsolete.
   */
  async write(
    configuration: FleetConfiguration,
    signal: AbortSignal,
  ): Promise<Result<number, ConfigurationError>> {
    const name = formatSnapshotName(configuration.version);
    const content = await encodeCompressedSnapshot(configuration);
    const written = await this.#objects.put(name, content, signal);
    if (written.isErr()) {
      return err(convertPlatformError(written.error));
    }
    const versions = await this.listVersions(signal);
    if (versions.isErr()) {
      return err(versions.error);
    }
    const kept = versions.value.slice(-RETAINED_SNAPSHOTS);
    for (const version of versions.value.slice(0, -RETAINED_SNAPSHOTS)) {
      await this.#objects.delete(formatSnapshotName(version), signal);
    }
    // While there is only one snapshot, readers may still need older rows.
    return ok(kept.length === RETAINED_SNAPSHOTS ? kept[0] ?? 0 : 0);
  }
}

/** Authenticates callers by bearer key. */

import { Buffer } from "node:buffer";
import { createHash, timingSafeEqual } from "node:crypto";
import type {
  FleetConfiguration,
  Organisation,
} from "@rattanvane/configuration";
import { CallerError, CallerErrorKind } from "./caller_error.ts";

const BEARER_PATTERN = /^Bearer +([\x21-\x7e]{1,512})$/i;

/** Computes the SHA-256 digest under which a key is stored, in hexadecimal. */
export function hashKey(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}

/**
 * Parses the bearer key of an Authorization header. Throws a CallerError when
 * the header is missing or malformed.
 */
export function parseBearerKey(header: string | undefined): string {
  if (header === undefined) {
    throw new CallerError(
      CallerErrorKind.MissingKey,
      "The request carries no key",
    );
  }
  const key = BEARER_PATTERN.exec(header)?.[1];
  if (key === undefined) {
    throw new CallerError(
      CallerErrorKind.WrongKey,
      "The Authorization header holds no bearer key",
    );
  }
  return key;
}

/**
 * Whether the hash of a key is among the given ones. Each comparison takes
 * constant time, and all hashes are compared.
 */
export function matchKeyHash(
  key: string,
  hashes: readonly string[],
): boolean {
  const actual = Buffer.from(hashKey(key), "hex");
  let matched = false;
  for (const hash of hashes) {
    const expected = Buffer.from(hash, "hex");
    const equal = expected.length === actual.length &&
      timingSafeEqual(expected, actual);
    matched = matched || equal;
  }
  return matched;
}

/** Maps key hashes to organisations for the current configuration. */
export class Authenticator {
  #configuration: FleetConfiguration | undefined;
  #organisationNames = new Map<string, string>();

  /**
   * Returns the organisation that a request authenticates as. Throws a
   * CallerError when the key is missing or unknown. The look-up is by hash, so
   * its timing reveals nothing about an unknown key.
   */
  authenticate(
    header: string | undefined,
    configuration: FleetConfiguration,
  ): Organisation {
    this.#update(configuration);
    const key = parseBearerKey(header);
    const name = this.#organisationNames.get(hashKey(key));
    const organisation = name === undefined
      ? undefined
      : configuration.organisations.get(name);
    const isAuthenticated = organisation !== undefined &&
      matchKeyHash(key, organisation.keyHashes);
    if (!isAuthenticated) {
      throw new CallerError(
        CallerErrorKind.WrongKey,
        "The key belongs to no organisation",
      );
    }
    return organisation;
  }

  #update(configuration: FleetConfiguration): void {
    if (this.#configuration === configuration) {
      return;
    }
    const organisationsChanged =
      this.#configuration?.organisations !== configuration.organisations;
    this.#configuration = configuration;
    if (!organisationsChanged) {
      return;
    }
    this.#organisationNames = new Map();
    for (const organisation of configuration.organisations.values()) {
      for (const hash of organisation.keyHashes) {
        this.#organisationNames.set(hash, organisation.name);
      }
    }
  }
}

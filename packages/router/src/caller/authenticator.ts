/** Finds the organisation that a bearer key belongs to. */

import { Buffer } from "node:buffer";
import { createHash, timingSafeEqual } from "node:crypto";
import type {
  FleetConfiguration,
  Organisation,
} from "@rattanvane/configuration";
import { CallerError, CallerErrorKind } from "./caller_error.ts";

const BEARER_PATTERN = /^Bearer +([\x21-\x7e]{1,512})$/i;

/** Computes the hash under which a key is stored, in hexadecimal. */
export function hashKey(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}

/** Reads the key out of an Authorization header; throws a CallerError. */
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

/** Whether a key's hash is one of those given; takes constant time each. */
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

/** Knows which organisation each key hash names, for one configuration. */
export class Authenticator {
  #configuration: FleetConfiguration | undefined;
  #owners = new Map<string, string>();

  /**
   * Finds the organisation of a request; throws a CallerError. The look-up
   * is by hash, so its time tells nothing of a key that is not known.
   */
  authenticate(
    header: string | undefined,
    configuration: FleetConfiguration,
  ): Organisation {
    this.#update(configuration);
    const key = parseBearerKey(header);
    const owner = this.#owners.get(hashKey(key));
    const organisation = owner === undefined
      ? undefined
      : configuration.organisations.get(owner);
    const known = organisation !== undefined &&
      matchKeyHash(key, organisation.keyHashes);
    if (!known) {
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
    this.#owners = new Map();
    for (const organisation of configuration.organisations.values()) {
      for (const hash of organisation.keyHashes) {
        this.#owners.set(hash, organisation.name);
      }
    }
  }
}

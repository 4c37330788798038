/** Idempotency keys that a VM issues and whose calls only that process may run. */

import type { Clock } from "@rattanvane/base";
import type { OrganisationId, VmId } from "@rattanvane/protocol";
import { err, ok, type Result } from "neverthrow";
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { Buffer } from "node:buffer";
import { KeyError, KeyErrorKind } from "./key_error.ts";

const KEY_PREFIX = "rk1";
const SEPARATOR = ".";
const SECRET_BYTES = 32;
const MAC_BYTES = 16;
const ENCODED_NUMBER_RADIX = 36;
const KEY_PATTERN =
  /^rk1\.([\w-]{1,128})\.([\w-]{1,64})\.([0-9a-z]{1,12})\.([0-9a-z]{1,12})\.([\w-]{22})$/;

/** The fields of an issued key's text, before its MAC has been verified. */
export interface IssuedKey {
  /** The VM that issued the key; only this VM may run its call. */
  vm: VmId;
  /** The process on that VM; other processes have no state of the key. */
  incarnation: string;
  /** The time of issue by `Clock.now` of the issuing process, in milliseconds. */
  issuedAt: number;
  /** The sequence number of the key within the issuing process. */
  nonce: number;
  mac: string;
}

/** Dependencies and settings of {@link IssuedKeys}. */
export interface IssuedKeysOptions {
  vm: VmId;
  /** Unique for every process that ever runs on the VM. */
  incarnation: string;
  clock: Clock;
  /** The MAC key, known to this process only; see `generateKeySecret`. */
  secret: Uint8Array;
  /** How long after its issue a key may start a call. */
  lifetimeMilliseconds: number;
}

/** Generates the secret with which a process authenticates its keys. */
export function generateKeySecret(): Uint8Array {
  return randomBytes(SECRET_BYTES);
}

/** Whether a text has the form of an issued key; does not verify its MAC. */
export function isIssuedKey(text: string): boolean {
  return text.startsWith(KEY_PREFIX + SEPARATOR);
}

/** Parses a key's text without verifying its MAC. */
export function parseIssuedKey(text: string): Result<IssuedKey, KeyError> {
  const match = KEY_PATTERN.exec(text);
  if (match === null) {
    return err(new KeyError(KeyErrorKind.Malformed, text));
  }
  const [, vm = "", incarnation = "", issuedAt = "", nonce = "", mac = ""] =
    match;
  return ok({
    vm: Buffer.from(vm, "base64url").toString(),
    incarnation,
    issuedAt: parseInt(issuedAt, ENCODED_NUMBER_RADIX),
    nonce: parseInt(nonce, ENCODED_NUMBER_RADIX),
    mac,
  });
}

/** Issues keys without storing them, and verifies the keys of this process. */
export class IssuedKeys {
  readonly #options: IssuedKeysOptions;
  #lastNonce = 0;

  constructor(options: IssuedKeysOptions) {
    this.#options = options;
  }

  /** Issues a key to an organisation. */
  issue(organisation: OrganisationId): string {
    const { vm, incarnation, clock } = this.#options;
    this.#lastNonce++;
    const content = [
      KEY_PREFIX,
      Buffer.from(vm).toString("base64url"),
      incarnation,
      Math.floor(clock.now()).toString(ENCODED_NUMBER_RADIX),
      this.#lastNonce.toString(ENCODED_NUMBER_RADIX),
    ].join(SEPARATOR);
    return content + SEPARATOR + this.#computeMac(content, organisation);
  }

  /** Whether the key names this process as its issuer; does not verify its MAC. */
  isOwn(key: IssuedKey): boolean {
    const { vm, incarnation } = this.#options;
    return key.vm === vm && key.incarnation === incarnation;
  }

  /** Verifies by its MAC that this process issued the key to the organisation. */
  isGenuine(text: string, organisation: OrganisationId): boolean {
    const end = text.lastIndexOf(SEPARATOR);
    const expected = this.#computeMac(text.slice(0, end), organisation);
    const actualBytes = Buffer.from(text.slice(end + 1));
    const expectedBytes = Buffer.from(expected);
    return actualBytes.length === expectedBytes.length &&
      timingSafeEqual(actualBytes, expectedBytes);
  }

  /** Computes the time, by `Clock.now`, from which the key starts no calls. */
  computeExpiry(key: IssuedKey): number {
    return key.issuedAt + this.#options.lifetimeMilliseconds;
  }

  #computeMac(content: string, organisation: OrganisationId): string {
    return createHmac("sha256", this.#options.secret)
      .update(`${content}\n${organisation}`)
      .digest()
      .subarray(0, MAC_BYTES)
      .toString("base64url");
  }
}

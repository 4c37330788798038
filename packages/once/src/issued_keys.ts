/** Keys that a VM issues and that only the same process may run. */

import type { Clock } from "@rattanvane/base";
import type { OrganisationId, VmId } from "@rattanvane/protocol";
import { err, ok, type Result } from "neverthrow";
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { Buffer } from "node:buffer";
import { KeyError, KeyErrorKind } from "./key_error.ts";

const PREFIX = "rk1";
const SEPARATOR = ".";
const SECRET_BYTES = 32;
const MAC_BYTES = 16;
const NUMBER_RADIX = 36;
const KEY_PATTERN =
  /^rk1\.([\w-]{1,128})\.([\w-]{1,64})\.([0-9a-z]{1,12})\.([0-9a-z]{1,12})\.([\w-]{22})$/;

/** An issued key as its text tells it; not yet known to be genuine. */
export interface IssuedKey {
  /** The VM that issued the key and alone may run it. */
  vm: VmId;
  /** The process on that VM; another one knows nothing of the key. */
  incarnation: string;
  /** The issuing process's own clock, in milliseconds. */
  issuedAt: number;
  /** Counts the keys of the process. */
  nonce: number;
  mac: string;
}

/** Settings of the keys that a process issues. */
export interface IssuedKeysOptions {
  vm: VmId;
  /** Differs for every process that ever runs on the VM. */
  incarnation: string;
  clock: Clock;
  /** Known to this process only; see `generateKeySecret`. */
  secret: Uint8Array;
  /** How long a call may be started with a key. */
  lifetimeMilliseconds: number;
}

/** Generates the secret of a process. */
export function generateKeySecret(): Uint8Array {
  return randomBytes(SECRET_BYTES);
}

/** Whether a text looks like an issued key, genuine or not. */
export function isIssuedKey(text: string): boolean {
  return text.startsWith(PREFIX + SEPARATOR);
}

/** Parses a key's text; says nothing of whether it is genuine. */
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
    issuedAt: parseInt(issuedAt, NUMBER_RADIX),
    nonce: parseInt(nonce, NUMBER_RADIX),
    mac,
  });
}

/** Issues keys from memory alone, and checks those of this process. */
export class IssuedKeys {
  readonly #options: IssuedKeysOptions;
  #nonce = 0;

  constructor(options: IssuedKeysOptions) {
    this.#options = options;
  }

  /** Issues a key to an organisation; nothing is stored. */
  issue(organisation: OrganisationId): string {
    const { vm, incarnation, clock } = this.#options;
    this.#nonce++;
    const content = [
      PREFIX,
      Buffer.from(vm).toString("base64url"),
      incarnation,
      Math.floor(clock.now()).toString(NUMBER_RADIX),
      this.#nonce.toString(NUMBER_RADIX),
    ].join(SEPARATOR);
    return content + SEPARATOR + this.#computeMac(content, organisation);
  }

  /** Whether this very process issued the key, going by its text. */
  isOwn(key: IssuedKey): boolean {
    const { vm, incarnation } = this.#options;
    return key.vm === vm && key.incarnation === incarnation;
  }

  /** Whether the key was issued by this process to the organisation. */
  isGenuine(text: string, organisation: OrganisationId): boolean {
    const end = text.lastIndexOf(SEPARATOR);
    const expected = this.#computeMac(text.slice(0, end), organisation);
    const given = Buffer.from(text.slice(end + 1));
    const wanted = Buffer.from(expected);
    return given.length === wanted.length && timingSafeEqual(given, wanted);
  }

  /** When no call may be started with the key any more, by `Clock.now`. */
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

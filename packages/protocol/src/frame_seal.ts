/** Authenticates the frames of a connection after its handshake. */

import { Buffer } from "node:buffer";
import { createHmac, timingSafeEqual } from "node:crypto";
import { ProtocolError, ProtocolErrorKind } from "./protocol_error.ts";

const SEAL_BYTES = 16;
const SEQUENCE_BYTES = 8;

/**
 * Seals frames with a key of this connection and a running number, so that
 * a frame can be neither changed, repeated, left out nor moved.
 */
export class FrameSeal {
  readonly #key: Uint8Array;
  #sequence = 0n;

  constructor(sessionKey: Uint8Array) {
    this.#key = sessionKey;
  }

  /** Puts the seal before the payload. */
  seal(payload: Uint8Array): Uint8Array {
    return Buffer.concat([this.#compute(payload), payload]);
  }

  /** Checks the seal and returns the payload; throws a ProtocolError. */
  open(sealed: Uint8Array): Uint8Array {
    const payload = sealed.subarray(SEAL_BYTES);
    const expected = this.#compute(payload);
    const actual = sealed.subarray(0, SEAL_BYTES);
    const matches = actual.length === SEAL_BYTES &&
      timingSafeEqual(actual, expected);
    if (!matches) {
      const problem = "Cannot accept a frame whose seal is wrong";
      throw new ProtocolError(ProtocolErrorKind.BadFrame, problem);
    }
    return payload;
  }

  #compute(payload: Uint8Array): Uint8Array {
    const sequence = Buffer.allocUnsafe(SEQUENCE_BYTES);
    sequence.writeBigUInt64BE(this.#sequence);
    this.#sequence++;
    const mac = createHmac("sha256", this.#key);
    mac.update(sequence);
    mac.update(payload);
    return mac.digest().subarray(0, SEAL_BYTES);
  }
}

/** Message authentication for frames sent after the handshake. */

import { Buffer } from "node:buffer";
import { createHmac, timingSafeEqual } from "node:crypto";
import { ProtocolError, ProtocolErrorKind } from "./protocol_error.ts";

const TAG_BYTES = 16;
const SEQUENCE_BYTES = 8;

/**
 * Authenticates frames with a session key and an implicit sequence number, which
 * detects modified, replayed, omitted and reordered frames.
 */
export class FrameSeal {
  readonly #key: Uint8Array;
  #sequence = 0n;

  constructor(sessionKey: Uint8Array) {
    this.#key = sessionKey;
  }

  /** Prepends the authentication tag to the payload. */
  seal(payload: Uint8Array): Uint8Array {
    return Buffer.concat([this.#computeTag(payload), payload]);
  }

  /** Verifies the tag and returns the payload; throws a ProtocolError on mismatch. */
  open(sealed: Uint8Array): Uint8Array {
    const payload = sealed.subarray(TAG_BYTES);
    const expected = this.#computeTag(payload);
    const actual = sealed.subarray(0, TAG_BYTES);
    const matches = actual.length === TAG_BYTES &&
      timingSafeEqual(actual, expected);
    if (!matches) {
      const problem =
        "Cannot accept a frame with an invalid authentication tag";
      throw new ProtocolError(ProtocolErrorKind.BadFrame, problem);
    }
    return payload;
  }

  #computeTag(payload: Uint8Array): Uint8Array {
    const sequence = Buffer.allocUnsafe(SEQUENCE_BYTES);
    sequence.writeBigUInt64BE(this.#sequence);
    this.#sequence++;
    const mac = createHmac("sha256", this.#key);
    mac.update(sequence);
    mac.update(payload);
    return mac.digest().subarray(0, TAG_BYTES);
  }
}

/** Messages as bytes. */

import { describeError } from "@rattanvane/base";
import { Encoder } from "cbor-x";
import { err, ok, type Result } from "neverthrow";
import { MessageKind } from "./message_kind.ts";
import type { Message } from "./messages.ts";
import { ProtocolError, ProtocolErrorKind } from "./protocol_error.ts";

const KNOWN_KINDS = new Set<string>(Object.values(MessageKind));

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });

/** Encodes any value of the handshake or a message. */
export function encodeValue(value: unknown): Uint8Array {
  return encoder.encode(value);
}

/** Decodes a value; fails with BadFrame when the bytes are not CBOR. */
export function decodeValue(
  bytes: Uint8Array,
): Result<unknown, ProtocolError> {
  try {
    return ok(encoder.decode(bytes));
  } catch (thrown) {
    const problem = `Cannot decode a frame: ${describeError(thrown)}`;
    return err(new ProtocolError(ProtocolErrorKind.BadFrame, problem, thrown));
  }
}

/** Encodes a message. */
export function encodeMessage(message: Message): Uint8Array {
  return encodeValue(message);
}

/** Decodes a message; fails with BadMessage when its kind is not known. */
export function decodeMessage(
  bytes: Uint8Array,
): Result<Message, ProtocolError> {
  return decodeValue(bytes).andThen((value) => {
    if (!isMessage(value)) {
      const problem = "Cannot read a message whose kind is not known";
      return err(new ProtocolError(ProtocolErrorKind.BadMessage, problem));
    }
    return ok(value);
  });
}

function isMessage(value: unknown): value is Message {
  if (typeof value !== "object" || value === null || !("kind" in value)) {
    return false;
  }
  return typeof value.kind === "string" && KNOWN_KINDS.has(value.kind);
}

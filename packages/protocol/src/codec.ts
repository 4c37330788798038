/** Messages as bytes. */

import { describeError } from "@rattanvane/base";
import { Encoder } from "cbor-x";
import { err, ok, type Result } from "neverthrow";
import { buildFieldNumbers } from "./field_names.ts";
import { MessageKind } from "./message_kind.ts";
import type { Message } from "./messages.ts";
import { ProtocolError, ProtocolErrorKind } from "./protocol_error.ts";

const KNOWN_KINDS = new Set<string>(Object.values(MessageKind));

/** Stateless, so that a frame can be read without those before it. */
const valueEncoder = new Encoder({ useRecords: false, mapsAsObjects: true });

const messageEncoder = new Encoder({
  useRecords: false,
  mapsAsObjects: true,
  keyMap: buildFieldNumbers(),
});

/** Encodes a value of the handshake. */
export function encodeValue(value: unknown): Uint8Array {
  return valueEncoder.encode(value);
}

/** Decodes a handshake's value; fails with BadFrame for other bytes. */
export function decodeValue(
  bytes: Uint8Array,
): Result<unknown, ProtocolError> {
  return decodeWith(valueEncoder, bytes);
}

/** Encodes a message. */
export function encodeMessage(message: Message): Uint8Array {
  return messageEncoder.encode(message);
}

/** Decodes a message; fails with BadMessage when its kind is not known. */
export function decodeMessage(
  bytes: Uint8Array,
): Result<Message, ProtocolError> {
  return decodeWith(messageEncoder, bytes).andThen((value) => {
    if (!isMessage(value)) {
      const problem = "Cannot read a message whose kind is not known";
      return err(new ProtocolError(ProtocolErrorKind.BadMessage, problem));
    }
    return ok(value);
  });
}

function decodeWith(
  encoder: Encoder,
  bytes: Uint8Array,
): Result<unknown, ProtocolError> {
  try {
    return ok(encoder.decode(bytes));
  } catch (thrown) {
    const problem = `Cannot decode a frame: ${describeError(thrown)}`;
    return err(new ProtocolError(ProtocolErrorKind.BadFrame, problem, thrown));
  }
}

function isMessage(value: unknown): value is Message {
  if (typeof value !== "object" || value === null || !("kind" in value)) {
    return false;
  }
  return typeof value.kind === "string" && KNOWN_KINDS.has(value.kind);
}

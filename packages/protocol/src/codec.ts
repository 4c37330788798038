/** CBOR encoding of messages. */

import { describeError } from "@rattanvane/base";
import { Encoder } from "cbor-x";
import { err, ok, type Result } from "neverthrow";
import { buildFieldNumbers } from "./field_names.ts";
import { hasValidFields } from "./message_checks.ts";
import { MessageKind } from "./message_kind.ts";
import type { Message } from "./messages.ts";
import { ProtocolError, ProtocolErrorKind } from "./protocol_error.ts";

const MAX_KIND_LENGTH = 40;
const KNOWN_KINDS = new Set<string>(Object.values(MessageKind));

/** Stateless, so that each frame can be decoded without the preceding ones. */
const valueEncoder = new Encoder({ useRecords: false, mapsAsObjects: true });

const messageEncoder = new Encoder({
  useRecords: false,
  mapsAsObjects: true,
  keyMap: buildFieldNumbers(),
});

/** Encodes a handshake value. */
export function encodeValue(value: unknown): Uint8Array {
  return valueEncoder.encode(value);
}

/** Decodes a handshake value; returns a BadFrame error for invalid bytes. */
export function decodeValue(
  bytes: Uint8Array,
): Result<unknown, ProtocolError> {
  return decodeWith(valueEncoder, bytes);
}

/** Encodes a message. */
export function encodeMessage(message: Message): Uint8Array {
  return messageEncoder.encode(message);
}

/**
 * Decodes a message; returns a BadFrame error for invalid bytes and BadMessage
 * for an unknown kind or invalid fields.
 */
export function decodeMessage(
  bytes: Uint8Array,
): Result<Message, ProtocolError> {
  return decodeWith(messageEncoder, bytes).andThen((value) => {
    if (!isMessage(value)) {
      const problem = `Cannot accept ${describeValue(value)}`;
      return err(new ProtocolError(ProtocolErrorKind.BadMessage, problem));
    }
    return ok(value);
  });
}

/**
 * Decodes what a listener sends back: the number of frames that it has received,
 * or a message.
 */
export function decodeReply(
  bytes: Uint8Array,
): Result<number | Message, ProtocolError> {
  return decodeWith(messageEncoder, bytes).andThen((value) => {
    if (typeof value !== "number" && !isMessage(value)) {
      const problem = `Cannot accept ${describeValue(value)}`;
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

/** Names a value that is no message, or a message with invalid fields. */
function describeValue(value: unknown): string {
  const hasKind = typeof value === "object" && value !== null &&
    "kind" in value && typeof value.kind === "string";
  return hasKind
    ? `a message of kind "${String(value.kind).slice(0, MAX_KIND_LENGTH)}", ` +
      "which is not known or has invalid fields"
    : "a value that is no message";
}

function isMessage(value: unknown): value is Message {
  if (typeof value !== "object" || value === null || !("kind" in value)) {
    return false;
  }
  return typeof value.kind === "string" && KNOWN_KINDS.has(value.kind) &&
    hasValidFields(value as Message & Record<string, unknown>);
}

/**
 * Stream ids. An id names the endpoint and the attempt of a stream, so that any
 * VM can resume it, and is signed to show that a router of the fleet issued it.
 */

import { Buffer } from "node:buffer";
import { createHmac, timingSafeEqual } from "node:crypto";
import type { AttemptId, EndpointId, RequestId } from "@rattanvane/protocol";
import { CompletionForm } from "./completion_request.ts";

const SIGNATURE_CHARACTERS = 22;
const TICKET_FIELD_COUNT = 5;
const FIELD_SEPARATOR = "\n";

/** Content of a stream id. */
export interface StreamTicket {
  request: RequestId;
  attempt: AttemptId;
  endpoint: EndpointId;
  organisation: string;
  form: CompletionForm;
}

/** Position in a stream: its ticket and the number of tokens received. */
export interface StreamPosition {
  ticket: StreamTicket;
  offset: number;
}

/** Encodes and signs a ticket; the result is safe in headers and URLs. */
export function encodeTicket(ticket: StreamTicket, fleetKey: string): string {
  const content = [
    ticket.request,
    ticket.attempt,
    ticket.endpoint,
    ticket.organisation,
    ticket.form,
  ].join(FIELD_SEPARATOR);
  const text = Buffer.from(content).toString("base64url");
  return `${text}.${computeSignature(text, fleetKey)}`;
}

/**
 * Decodes a ticket. Returns undefined when it is malformed or not signed with
 * any of the accepted keys.
 */
export function parseTicket(
  encoded: string,
  fleetKeys: readonly string[],
): StreamTicket | undefined {
  const [text, signature] = encoded.split(".");
  if (text === undefined || signature === undefined) {
    return undefined;
  }
  if (
    !fleetKeys.some((key) =>
      isEqualSignature(signature, computeSignature(text, key))
    )
  ) {
    return undefined;
  }
  const fields = Buffer.from(text, "base64url").toString("utf8")
    .split(FIELD_SEPARATOR);
  if (fields.length !== TICKET_FIELD_COUNT) {
    return undefined;
  }
  const [request, attempt, endpoint, organisation, form] = fields as [
    string,
    string,
    string,
    string,
    CompletionForm,
  ];
  return { request, attempt, endpoint, organisation, form };
}

/** Formats the id of an event: the offset, then the ticket. */
export function formatEventId(offset: number, ticket: string): string {
  return `${offset}.${ticket}`;
}

/** Parses a Last-Event-ID; returns undefined when it is malformed. */
export function parseEventId(
  eventId: string,
): { offset: number; ticket: string | undefined } | undefined {
  const match = /^(\d{1,9})(?:\.(.+))?$/.exec(eventId);
  if (match === null) {
    return undefined;
  }
  return { offset: Number(match[1]), ticket: match[2] };
}

/**
 * Compares in constant time, so that signatures cannot be guessed by timing.
 */
function isEqualSignature(actual: string, expected: string): boolean {
  const first = Buffer.from(actual);
  const second = Buffer.from(expected);
  return first.length === second.length && timingSafeEqual(first, second);
}

function computeSignature(text: string, fleetKey: string): string {
  return createHmac("sha256", fleetKey)
    .update(`stream ticket\n${text}`)
    .digest("base64url")
    .slice(0, SIGNATURE_CHARACTERS);
}

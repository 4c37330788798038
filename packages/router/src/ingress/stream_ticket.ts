/**
 * Stream ids: they name the endpoint and the attempt, so that any VM can take
 * a stream up again, and carry a proof that a router of the fleet made them.
 */

import { Buffer } from "node:buffer";
import { createHmac, timingSafeEqual } from "node:crypto";
import type { AttemptId, EndpointId, RequestId } from "@rattanvane/protocol";
import { CompletionForm } from "./completion_request.ts";

const PROOF_CHARACTERS = 22;
const TICKET_FIELDS = 5;
const FIELD_SEPARATOR = "\n";

/** What a stream id says. */
export interface StreamTicket {
  request: RequestId;
  attempt: AttemptId;
  endpoint: EndpointId;
  organisation: string;
  form: CompletionForm;
}

/** A place in a stream: the ticket and the tokens that were received. */
export interface StreamPosition {
  ticket: StreamTicket;
  offset: number;
}

/** Encodes a ticket as a text that fits into a header and a URL. */
export function encodeTicket(ticket: StreamTicket, fleetKey: string): string {
  const content = [
    ticket.request,
    ticket.attempt,
    ticket.endpoint,
    ticket.organisation,
    ticket.form,
  ].join(FIELD_SEPARATOR);
  const text = Buffer.from(content).toString("base64url");
  return `${text}.${computeProof(text, fleetKey)}`;
}

/** Reads a ticket; undefined when no accepted key has made it. */
export function parseTicket(
  encoded: string,
  fleetKeys: readonly string[],
): StreamTicket | undefined {
  const [text, proof] = encoded.split(".");
  if (text === undefined || proof === undefined) {
    return undefined;
  }
  if (!fleetKeys.some((key) => isProof(proof, computeProof(text, key)))) {
    return undefined;
  }
  const fields = Buffer.from(text, "base64url").toString("utf8")
    .split(FIELD_SEPARATOR);
  if (fields.length !== TICKET_FIELDS) {
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

/** Formats the id of one event: the offset, then the ticket. */
export function formatEventId(offset: number, ticket: string): string {
  return `${offset}.${ticket}`;
}

/** Splits a Last-Event-ID into offset and ticket; undefined when malformed. */
export function parseEventId(
  eventId: string,
): { offset: number; ticket: string | undefined } | undefined {
  const match = /^(\d{1,9})(?:\.(.+))?$/.exec(eventId);
  if (match === null) {
    return undefined;
  }
  return { offset: Number(match[1]), ticket: match[2] };
}

function isProof(actual: string, expected: string): boolean {
  const first = Buffer.from(actual);
  const second = Buffer.from(expected);
  return first.length === second.length && timingSafeEqual(first, second);
}

function computeProof(text: string, fleetKey: string): string {
  return createHmac("sha256", fleetKey)
    .update(`stream ticket\n${text}`)
    .digest("base64url")
    .slice(0, PROOF_CHARACTERS);
}

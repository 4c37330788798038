/** The table row that records the call of a caller-supplied key. */

import type { HeaderField, VmId } from "@rattanvane/protocol";
import { Buffer } from "node:buffer";
import type { AnsweredExecution } from "./execution.ts";
import { ExecutionKind } from "./execution.ts";

/** The state of a key's call. */
export enum CallRowState {
  /** An attempt may have been sent to an endpoint. */
  Running = "running",
  Answered = "answered",
  /** No attempt was sent; a retry may start a new one. */
  NotRun = "notRun",
  Unknown = "unknown",
  /** The call has completed, and its result is no longer stored. */
  Expired = "expired",
}

/** Where a result is stored. */
export enum ResultPlace {
  Row = "row",
  Object = "object",
  /** Only in the memory of the process that owns the row. */
  Owner = "owner",
}

/** The process that created the row's attempt. */
export interface RowOwner {
  vm: VmId;
  incarnation: string;
}

/** A result stored in the row, or a reference to it. */
export type StoredResult =
  | { place: ResultPlace.Row; answer: AnsweredExecution }
  | { place: ResultPlace.Object; name: string }
  | { place: ResultPlace.Owner };

/** The content of a row. */
export interface CallRow {
  state: CallRowState;
  attempt: string;
  owner: RowOwner;
  fingerprint: string;
  /** The wall time from which the row may be removed. */
  removableAt: number;
  /** The wall time from which the result may be removed. */
  resultUntil?: number;
  /** Present only in state Answered. */
  result?: StoredResult;
}

/** Encodes an answer as JSON text. */
export function encodeAnswer(answer: AnsweredExecution): string {
  return JSON.stringify(convertToJson(answer));
}

/** Decodes an answer; undefined when the text is not a valid answer. */
export function decodeAnswer(text: string): AnsweredExecution | undefined {
  return validateAnswer(parseJson(text));
}

/** Encodes a row as the JSON text that the table stores. */
export function encodeCallRow(row: CallRow): string {
  const { result } = row;
  if (result?.place !== ResultPlace.Row) {
    return JSON.stringify(row);
  }
  const answer = convertToJson(result.answer);
  return JSON.stringify({ ...row, result: { place: result.place, answer } });
}

/** Decodes a stored row; undefined when the text is not a valid row. */
export function decodeCallRow(text: string): CallRow | undefined {
  const value = parseJson(text);
  if (!isRecord(value) || !isRecord(value["owner"])) {
    return undefined;
  }
  const { state, attempt, fingerprint, removableAt, resultUntil } = value;
  const { vm, incarnation } = value["owner"];
  if (
    !isState(state) || typeof attempt !== "string" ||
    typeof fingerprint !== "string" || typeof removableAt !== "number" ||
    typeof vm !== "string" || typeof incarnation !== "string"
  ) {
    return undefined;
  }
  const row: CallRow = {
    state,
    attempt,
    fingerprint,
    removableAt,
    owner: { vm, incarnation },
  };
  if (typeof resultUntil === "number") {
    row.resultUntil = resultUntil;
  }
  const result = validateResult(value["result"]);
  return result === undefined ? row : { ...row, result };
}

function convertToJson(answer: AnsweredExecution) {
  const body = Buffer.from(answer.body).toString("base64");
  return { status: answer.status, headers: answer.headers, body };
}

function validateResult(value: unknown): StoredResult | undefined {
  if (!isRecord(value)) {
    return undefined;
  }
  if (value["place"] === ResultPlace.Owner) {
    return { place: ResultPlace.Owner };
  }
  if (value["place"] === ResultPlace.Object) {
    const name = value["name"];
    return typeof name === "string"
      ? { place: ResultPlace.Object, name }
      : undefined;
  }
  const answer = validateAnswer(value["answer"]);
  return answer === undefined ? undefined : { place: ResultPlace.Row, answer };
}

function validateAnswer(value: unknown): AnsweredExecution | undefined {
  if (!isRecord(value)) {
    return undefined;
  }
  const { status, headers, body } = value;
  if (
    typeof status !== "number" || typeof body !== "string" ||
    !Array.isArray(headers) || !headers.every(isHeader)
  ) {
    return undefined;
  }
  return {
    kind: ExecutionKind.Answered,
    status,
    headers,
    body: Buffer.from(body, "base64"),
  };
}

function isHeader(value: unknown): value is HeaderField {
  return isRecord(value) && typeof value["name"] === "string" &&
    typeof value["value"] === "string";
}

function isState(value: unknown): value is CallRowState {
  return Object.values<unknown>(CallRowState).includes(value);
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

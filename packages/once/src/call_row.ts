/** The table row that stands for a caller's key. */

import type { HeaderField, VmId } from "@rattanvane/protocol";
import { Buffer } from "node:buffer";
import type { AnsweredExecution } from "./execution.ts";
import { ExecutionKind } from "./execution.ts";

/** How far the call of a key has come. */
export enum CallRowState {
  /** An attempt may be on its way to an endpoint. */
  Running = "running",
  Answered = "answered",
  /** No attempt has left; a repeat may make a new one. */
  NotRun = "notRun",
  Unknown = "unknown",
  /** It ended, and its result is no longer kept. */
  Expired = "expired",
}

/** Where a result is kept. */
export enum ResultPlace {
  Row = "row",
  Object = "object",
  /** Only in the memory of the owner. */
  Owner = "owner",
}

/** The process that made the row's attempt. */
export interface RowOwner {
  vm: VmId;
  incarnation: string;
}

/** A kept result, or where it is. */
export type StoredResult =
  | { place: ResultPlace.Row; answer: AnsweredExecution }
  | { place: ResultPlace.Object; name: string }
  | { place: ResultPlace.Owner };

/** What the row holds. */
export interface CallRow {
  state: CallRowState;
  attempt: string;
  owner: RowOwner;
  fingerprint: string;
  /** When the row may be removed, in wall time. */
  removableAt: number;
  /** When the result may be dropped, in wall time. */
  resultUntil?: number;
  /** Only when answered. */
  result?: StoredResult;
}

/** Encodes an answer as JSON text. */
export function encodeAnswer(answer: AnsweredExecution): string {
  return JSON.stringify(convertAnswer(answer));
}

/** Decodes an answer; undefined when the text holds none. */
export function decodeAnswer(text: string): AnsweredExecution | undefined {
  return validateAnswer(parseJson(text));
}

/** Encodes a row's value. */
export function encodeCallRow(row: CallRow): string {
  const { result } = row;
  if (result?.place !== ResultPlace.Row) {
    return JSON.stringify(row);
  }
  const answer = convertAnswer(result.answer);
  return JSON.stringify({ ...row, result: { place: result.place, answer } });
}

/** Decodes a row's value; undefined when it is none of ours. */
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

function convertAnswer(answer: AnsweredExecution) {
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

/** Where the results of callers' keys are kept. */

import type { ObjectStore } from "@rattanvane/platform";
import { Buffer } from "node:buffer";
import {
  type CallRow,
  decodeAnswer,
  encodeAnswer,
  ResultPlace,
  type StoredResult,
} from "./call_row.ts";
import type { AnsweredExecution } from "./execution.ts";

/** The start of the names of kept results. */
export const RESULT_OBJECT_PREFIX = "once-results/";

/** Limits of kept results. */
export interface ResultStoreOptions {
  objects: ObjectStore;
  /** Results up to this size lie in the row. */
  rowLimitBytes: number;
  /** Results up to this size lie in the object store. */
  objectLimitBytes: number;
}

/** Keeps small results in the row and larger ones in the object store. */
export class ResultStore {
  readonly #options: ResultStoreOptions;

  constructor(options: ResultStoreOptions) {
    this.#options = options;
  }

  /** Keeps an answer; what is too large stays with its owner. */
  async write(
    answer: AnsweredExecution,
    attempt: string,
    signal: AbortSignal,
  ): Promise<StoredResult> {
    const { objects, rowLimitBytes, objectLimitBytes } = this.#options;
    const text = encodeAnswer(answer);
    if (text.length <= rowLimitBytes) {
      return { place: ResultPlace.Row, answer };
    }
    if (text.length > objectLimitBytes) {
      return { place: ResultPlace.Owner };
    }
    const name = RESULT_OBJECT_PREFIX + attempt;
    const put = await objects.put(name, Buffer.from(text), signal);
    return put.isOk()
      ? { place: ResultPlace.Object, name }
      : { place: ResultPlace.Owner };
  }

  /** Reads an answered row's result; undefined when it is not there. */
  async read(
    row: CallRow,
    signal: AbortSignal,
  ): Promise<AnsweredExecution | undefined> {
    const { result } = row;
    if (result?.place === ResultPlace.Row) {
      return result.answer;
    }
    if (result?.place !== ResultPlace.Object) {
      return undefined;
    }
    const found = await this.#options.objects.get(result.name, signal);
    if (found.isErr() || found.value === undefined) {
      return undefined;
    }
    return decodeAnswer(new TextDecoder().decode(found.value));
  }
}

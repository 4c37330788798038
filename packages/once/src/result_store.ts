/** Stores the results of calls with caller-supplied keys. */

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

/** The prefix of the names of results in the object store. */
export const RESULT_OBJECT_PREFIX = "once-results/";

/** Dependencies and limits of a {@link ResultStore}. */
export interface ResultStoreOptions {
  objects: ObjectStore;
  /** The largest encoded result that is stored in its row. */
  rowLimitBytes: number;
  /** The largest encoded result that is stored in the object store. */
  objectLimitBytes: number;
}

/** Stores small results in the row and larger ones in the object store. */
export class ResultStore {
  readonly #options: ResultStoreOptions;

  constructor(options: ResultStoreOptions) {
    this.#options = options;
  }

  /**
   * Stores an answer and returns its place. An answer that is too large, or that
   * the object store does not accept, stays only in the memory of its owner.
   */
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

  /** Reads the result of an answered row; undefined when it is not available. */
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

/** Access to the platform's object store over HTTP. */

import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { ObjectStore } from "../object_store.ts";
import { type PlatformError, PlatformErrorKind } from "../platform_error.ts";
import { createStatusError } from "./platform_answers.ts";
import { PlatformCallKind } from "./platform_call.ts";
import type { PlatformTransport } from "./platform_transport.ts";
import { readPage } from "./read_page.ts";

const STATUS_OK = 200;
const STATUS_NO_CONTENT = 204;
const STATUS_NOT_FOUND = 404;

const NAMES_SCHEMA = z.object({ names: z.array(z.string()) });

/** Reads and writes objects through the platform's HTTP protocol. */
export class HttpObjectStore extends ObjectStore {
  readonly #transport: PlatformTransport;

  constructor(transport: PlatformTransport) {
    super();
    this.#transport = transport;
  }

  override async get(
    name: string,
    signal: AbortSignal,
  ): Promise<Result<Uint8Array | undefined, PlatformError>> {
    const answer = await this.#transport.run({
      kind: PlatformCallKind.Read,
      method: "GET",
      path: formatPath(name),
    }, signal);
    if (answer.isErr()) {
      return err(answer.error);
    }
    if (answer.value.status === STATUS_NOT_FOUND) {
      return ok(undefined);
    }
    if (answer.value.status !== STATUS_OK) {
      return err(
        createStatusError(answer.value, PlatformErrorKind.BadResponse),
      );
    }
    return ok(answer.value.body);
  }

  override put(
    name: string,
    content: Uint8Array,
    signal: AbortSignal,
  ): Promise<Result<void, PlatformError>> {
    const path = formatPath(name);
    return this.#write({ method: "PUT", path, body: content }, signal);
  }

  override async list(
    prefix: string,
    signal: AbortSignal,
  ): Promise<Result<string[], PlatformError>> {
    const page = await readPage(
      this.#transport,
      {
        path: `/objects?${new URLSearchParams({ prefix })}`,
        schema: NAMES_SCHEMA,
      },
      signal,
    );
    return page.map(({ names }) => names);
  }

  override delete(
    name: string,
    signal: AbortSignal,
  ): Promise<Result<void, PlatformError>> {
    return this.#write({ method: "DELETE", path: formatPath(name) }, signal);
  }

  async #write(
    call: { method: "PUT" | "DELETE"; path: string; body?: Uint8Array },
    signal: AbortSignal,
  ): Promise<Result<void, PlatformError>> {
    const answer = await this.#transport.run({
      kind: PlatformCallKind.Write,
      ...call,
    }, signal);
    if (answer.isErr()) {
      return err(answer.error);
    }
    if (answer.value.status !== STATUS_NO_CONTENT) {
      return err(
        createStatusError(answer.value, PlatformErrorKind.OutcomeUnknown),
      );
    }
    return ok(undefined);
  }
}

function formatPath(name: string): string {
  return `/objects/${encodeURIComponent(name)}`;
}

/** Serves changes and snapshots to peers. */

import type {
  ChangesMessage,
  EncodedChange,
  RequestChangesMessage,
} from "@rattanvane/protocol";
import { MessageKind } from "@rattanvane/protocol";
import type { ConfigurationStore } from "./configuration_store.ts";
import { encodeCompressedSnapshot } from "./snapshot_archive.ts";

/** The maximum size of changes or of a snapshot part in one message. */
export const MAXIMUM_PART_BYTES = 192 * 1_024;

interface CachedSnapshot {
  version: number;
  content: Promise<Uint8Array>;
}

/**
 * Builds one answer per request and keeps no state per client. Clients pull at
 * their own rate, so many concurrent clients cannot exhaust the memory.
 */
export class ChangeServer {
  readonly #store: ConfigurationStore;
  /** Encoded once for all clients while changes after it are held. */
  #cached: CachedSnapshot | undefined;

  constructor(store: ConfigurationStore) {
    this.#store = store;
  }

  /** Builds the answer to a request. */
  async buildAnswer(request: RequestChangesMessage): Promise<ChangesMessage> {
    const changes = request.snapshot === undefined
      ? this.#store.listChangesAfter(request.afterVersion)
      : undefined;
    const answer: ChangesMessage = {
      kind: MessageKind.Changes,
      request: request.request,
      version: this.#store.current.version,
      changes: [],
    };
    if (changes !== undefined) {
      return { ...answer, changes: pickFirstPart(changes) };
    }
    return { ...answer, snapshot: await this.#buildPart(request) };
  }

  async #buildPart(
    request: RequestChangesMessage,
  ): Promise<NonNullable<ChangesMessage["snapshot"]>> {
    const cached = this.#refreshCache();
    const content = await cached.content;
    const offset = request.snapshot?.version === cached.version
      ? request.snapshot.offset
      : 0;
    return {
      version: cached.version,
      offset,
      totalBytes: content.length,
      content: content.slice(offset, offset + MAXIMUM_PART_BYTES),
    };
  }

  #refreshCache(): CachedSnapshot {
    const cached = this.#cached;
    const isUsable = cached !== undefined &&
      this.#store.listChangesAfter(cached.version) !== undefined;
    if (isUsable) {
      return cached;
    }
    const { current } = this.#store;
    this.#cached = {
      version: current.version,
      content: encodeCompressedSnapshot(current),
    };
    return this.#cached;
  }
}

/** Picks as many changes as fit into one message, and at least one. */
function pickFirstPart(changes: readonly EncodedChange[]): EncodedChange[] {
  const part: EncodedChange[] = [];
  let bytes = 0;
  for (const change of changes) {
    bytes += change.body.length;
    if (part.length > 0 && bytes > MAXIMUM_PART_BYTES) {
      break;
    }
    part.push(change);
  }
  return part;
}

/** Answers peers that lack changes. */

import type {
  ChangesMessage,
  EncodedChange,
  RequestChangesMessage,
} from "@rattanvane/protocol";
import { MessageKind } from "@rattanvane/protocol";
import type { ConfigurationStore } from "./configuration_store.ts";
import { encodeCompressedSnapshot } from "./snapshot_archive.ts";

/** The most bytes of changes or of a snapshot in one message. */
export const LARGEST_PART_BYTES = 192 * 1_024;

interface CachedSnapshot {
  version: number;
  content: Promise<Uint8Array>;
}

/**
 * Builds one answer for each request and keeps nothing of the asker: the
 * asker sets the pace, so that many who ask at once cannot fill the memory.
 */
export class ChangeServer {
  readonly #store: ConfigurationStore;
  /** Encoded once for all askers, as long as changes lead on from it. */
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
      content: content.slice(offset, offset + LARGEST_PART_BYTES),
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

/** At least one change, and as many as fit. */
function pickFirstPart(changes: readonly EncodedChange[]): EncodedChange[] {
  const part: EncodedChange[] = [];
  let bytes = 0;
  for (const change of changes) {
    bytes += change.body.length;
    if (part.length > 0 && bytes > LARGEST_PART_BYTES) {
      break;
    }
    part.push(change);
  }
  return part;
}

/** Splits the bytes of an event stream into complete events. */

import { Buffer } from "node:buffer";
import { ByteCollector } from "@rattanvane/base";

const LINE_FEED = 0x0a;
const ID_FIELD = "id:";
const EVENT_ID_PATTERN = /^id: ?([^\n\r]*)/gm;

/**
 * Holds back incomplete events and records the id of the last complete one.
 * An event ends with two line feeds. Each byte is searched once and copied a
 * bounded number of times, however many pieces an event arrives in.
 */
export class EventSplitter {
  readonly #incompleteEvent = new ByteCollector();
  #lastEventId = "";
  /** The latest complete events with an id; it has not been read yet. */
  #unreadEvents: Uint8Array = new Uint8Array();
  #eventCount = 0;

  /** The id of the last complete event; empty before the first one. */
  get lastEventId(): string {
    this.#readLastEventId();
    return this.#lastEventId;
  }

  /** The number of complete events received so far. */
  get eventCount(): number {
    return this.#eventCount;
  }

  /** Whether bytes of an incomplete event are held back. */
  get hasIncompleteEvent(): boolean {
    return this.#incompleteEvent.length > 0;
  }

  /** The number of bytes of an incomplete event that are held back. */
  get incompleteBytes(): number {
    return this.#incompleteEvent.length;
  }

  /** Returns the events that these bytes complete, in their wire form. */
  split(chunk: Uint8Array): Uint8Array {
    const end = this.#countEvents(chunk);
    const rest = chunk.subarray(end);
    if (end === 0) {
      this.#incompleteEvent.append(rest);
      return new Uint8Array();
    }
    const complete = this.#takeComplete(chunk.subarray(0, end));
    if (rest.length > 0) {
      this.#incompleteEvent.append(rest);
    }
    if (hasId(complete)) {
      // Ids are only read when a stream has to be resumed.
      this.#unreadEvents = complete;
    }
    return complete;
  }

  /** Discards the bytes of an incomplete event. */
  removeIncompleteEvent(): void {
    this.#incompleteEvent.clear();
  }

  /** Joins the held bytes with those that complete their event. */
  #takeComplete(bytes: Uint8Array): Buffer {
    if (this.#incompleteEvent.length === 0) {
      return convertToBuffer(bytes);
    }
    this.#incompleteEvent.append(bytes);
    return convertToBuffer(this.#incompleteEvent.take());
  }

  /** Counts complete events; returns the offset after the last of them. */
  #countEvents(chunk: Uint8Array): number {
    let end = 0;
    let offset = 0;
    const isSplit = this.#incompleteEvent.lastByte === LINE_FEED &&
      chunk[0] === LINE_FEED;
    if (isSplit) {
      // The two line feeds arrived in different chunks.
      end = 1;
      this.#eventCount++;
    }
    for (;;) {
      const lineFeed = chunk.indexOf(LINE_FEED, offset);
      if (lineFeed < 0 || lineFeed + 1 >= chunk.length) {
        return end;
      }
      if (chunk[lineFeed + 1] === LINE_FEED) {
        end = lineFeed + 2;
        this.#eventCount++;
      }
      offset = lineFeed + 1;
    }
  }

  #readLastEventId(): void {
    if (this.#unreadEvents.length === 0) {
      return;
    }
    const text = Buffer.from(this.#unreadEvents).toString("latin1");
    this.#unreadEvents = new Uint8Array();
    for (const [, id] of text.matchAll(EVENT_ID_PATTERN)) {
      this.#lastEventId = id ?? this.#lastEventId;
    }
  }
}

function convertToBuffer(bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
}

/** Whether a line of some complete events begins with an id. */
function hasId(events: Buffer): boolean {
  return events.indexOf(ID_FIELD) === 0 || events.includes(`\n${ID_FIELD}`);
}

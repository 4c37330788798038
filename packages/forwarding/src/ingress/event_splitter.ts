/** Splits the bytes of an event stream into complete events. */

import { Buffer } from "node:buffer";

const LINE_FEED = 0x0a;
const ID_FIELD = "id:";
const EVENT_ID_PATTERN = /^id: ?([^\n\r]*)/gm;

/**
 * Holds back incomplete events and records the id of the last complete one.
 * An event ends with two line feeds.
 */
export class EventSplitter {
  #incompleteEvent: Uint8Array = new Uint8Array();
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

  /** Returns the events that these bytes complete, in their wire form. */
  split(chunk: Uint8Array): Uint8Array {
    const bytes = this.#incompleteEvent.length === 0
      ? chunk
      : Buffer.concat([this.#incompleteEvent, chunk]);
    const end = this.#countEvents(bytes);
    this.#incompleteEvent = bytes.subarray(end);
    const complete = Buffer.from(bytes.buffer, bytes.byteOffset, end);
    if (hasId(complete)) {
      // Ids are only read when a stream has to be resumed.
      this.#unreadEvents = complete;
    }
    return complete;
  }

  /** Discards the bytes of an incomplete event. */
  removeIncompleteEvent(): void {
    this.#incompleteEvent = new Uint8Array();
  }

  /** Counts complete events; returns the offset after the last of them. */
  #countEvents(bytes: Uint8Array): number {
    let end = 0;
    let offset = 0;
    for (;;) {
      const lineFeed = bytes.indexOf(LINE_FEED, offset);
      if (lineFeed < 0 || lineFeed + 1 >= bytes.length) {
        return end;
      }
      if (bytes[lineFeed + 1] === LINE_FEED) {
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

/** Whether a line of some complete events begins with an id. */
function hasId(events: Buffer): boolean {
  return events.indexOf(ID_FIELD) === 0 || events.includes(`\n${ID_FIELD}`);
}

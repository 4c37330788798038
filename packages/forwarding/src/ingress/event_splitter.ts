/** Finds the whole events in the bytes of a stream. */

import { Buffer } from "node:buffer";

const LINE_FEED = 0x0a;
const ID_PATTERN = /(?:^|\n)id: ?([^\n\r]*)/;

/** Passes on whole events only, and remembers the last one's id. */
export class EventSplitter {
  #rest: Uint8Array = new Uint8Array();
  #lastEvent = "";
  #events = 0;

  /** The id of the last whole event; empty before the first. */
  get lastEvent(): string {
    return this.#lastEvent;
  }

  /** How many whole events have come. */
  get events(): number {
    return this.#events;
  }

  /** Whether bytes of an unfinished event are held. */
  get hasRest(): boolean {
    return this.#rest.length > 0;
  }

  /** Returns the whole events that are known with these bytes. */
  split(chunk: Uint8Array): Uint8Array {
    const bytes = this.#rest.length === 0
      ? chunk
      : Buffer.concat([this.#rest, chunk]);
    const end = this.#countEvents(bytes);
    this.#rest = bytes.subarray(end);
    const whole = bytes.subarray(0, end);
    this.#noteLastEvent(whole);
    return whole;
  }

  /** Forgets the bytes of an unfinished event. */
  dropRest(): void {
    this.#rest = new Uint8Array();
  }

  #countEvents(bytes: Uint8Array): number {
    let end = 0;
    let from = 0;
    for (;;) {
      const feed = bytes.indexOf(LINE_FEED, from);
      if (feed < 0 || feed + 1 >= bytes.length) {
        return end;
      }
      if (bytes[feed + 1] === LINE_FEED) {
        end = feed + 2;
        this.#events++;
      }
      from = feed + 1;
    }
  }

  #noteLastEvent(whole: Uint8Array): void {
    if (whole.length === 0) {
      return;
    }
    const text = Buffer.from(whole).toString("latin1");
    const last = text.slice(text.lastIndexOf("\n\n", text.length - 3) + 1);
    this.#lastEvent = ID_PATTERN.exec(last)?.[1] ?? this.#lastEvent;
  }
}

import { Buffer } from "node:buffer";
import { expect } from "chai";
import fc from "fast-check";
import { describe, it } from "mocha";
import { EventSplitter } from "./event_splitter.ts";

const LONG_EVENT_BYTES = 96 * 1024;
/** Within it, in milliseconds, other requests of the VM are to be answered. */
const ROUTE_TIMEOUT = 1_500;

const STREAM = "id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\ndata: three\n\n";

/** Splits the stream in chunks that end at the given offsets. */
function splitAt(offsets: readonly number[]) {
  const splitter = new EventSplitter();
  const returned: string[] = [];
  let from = 0;
  for (const to of [...offsets].sort((a, b) => a - b).concat(STREAM.length)) {
    const chunk = Buffer.from(STREAM.slice(from, to));
    returned.push(Buffer.from(splitter.split(chunk)).toString());
    from = to;
  }
  return { splitter, returned };
}

describe("EventSplitter", () => {
  it("returns only complete events for any split of the bytes", () => {
    fc.assert(
      fc.property(
        fc.array(fc.nat(STREAM.length), { maxLength: 6 }),
        (offsets) => {
          const { splitter, returned } = splitAt(offsets);
          expect(returned.join("")).to.equal(STREAM);
          expect(splitter.lastEventId).to.equal("3");
          expect(splitter.eventCount).to.equal(3);
          for (const part of returned) {
            expect(part === "" || part.endsWith("\n\n")).to.equal(true);
          }
        },
      ),
      { seed: 11 },
    );
  });

  it("keeps the last id when later events have none", () => {
    const splitter = new EventSplitter();
    splitter.split(Buffer.from("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
    splitter.split(Buffer.from("data: id: 9\n\n: a comment\n\n"));
    expect(splitter.lastEventId).to.equal("2");
    expect(splitter.eventCount).to.equal(4);
  });

  it("holds back an incomplete event until it is removed", () => {
    const splitter = new EventSplitter();
    const complete = splitter.split(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"));
    expect(Buffer.from(complete).toString()).to.equal("id: 1\ndata: a\n\n");
    expect(splitter.hasIncompleteEvent).to.equal(true);
    splitter.removeIncompleteEvent();
    expect(splitter.hasIncompleteEvent).to.equal(false);
    expect(splitter.lastEventId).to.equal("1");
  });

  // Searching all held bytes again with each piece takes time in the square of
  // an event's length, on the only thread of the VM.
  it("splits a long event that arrives in small pieces in linear time", () => {
    const splitter = new EventSplitter();
    const piece = Buffer.from("id: 1\n");
    const startedAt = performance.now();
    for (let bytes = 0; bytes < LONG_EVENT_BYTES; bytes += piece.length) {
      splitter.split(piece);
    }
    const event = splitter.split(Buffer.from("\n"));
    expect(performance.now() - startedAt).to.be.below(ROUTE_TIMEOUT);
    expect(event.length).to.be.at.least(LONG_EVENT_BYTES);
    expect(splitter.eventCount).to.equal(1);
  });
});

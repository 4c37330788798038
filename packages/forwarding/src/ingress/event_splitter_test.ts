import { Buffer } from "node:buffer";
import { expect } from "chai";
import fc from "fast-check";
import { describe, it } from "mocha";
import { EventSplitter } from "./event_splitter.ts";

const STREAM = "id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\ndata: three\n\n";

function splitAt(cuts: readonly number[]) {
  const splitter = new EventSplitter();
  const passed: string[] = [];
  let from = 0;
  for (const cut of [...cuts].sort((a, b) => a - b).concat(STREAM.length)) {
    const part = Buffer.from(STREAM.slice(from, cut));
    passed.push(Buffer.from(splitter.split(part)).toString());
    from = cut;
  }
  return { splitter, passed };
}

describe("EventSplitter", () => {
  it("passes on whole events, however the bytes are cut", () => {
    fc.assert(
      fc.property(
        fc.array(fc.nat(STREAM.length), { maxLength: 6 }),
        (cuts) => {
          const { splitter, passed } = splitAt(cuts);
          expect(passed.join("")).to.equal(STREAM);
          expect(splitter.lastEvent).to.equal("3");
          expect(splitter.events).to.equal(3);
          for (const part of passed) {
            expect(part === "" || part.endsWith("\n\n")).to.equal(true);
          }
        },
      ),
      { seed: 11 },
    );
  });

  it("holds an unfinished event back and can forget it", () => {
    const splitter = new EventSplitter();
    const whole = splitter.split(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"));
    expect(Buffer.from(whole).toString()).to.equal("id: 1\ndata: a\n\n");
    expect(splitter.hasRest).to.equal(true);
    splitter.dropRest();
    expect(splitter.hasRest).to.equal(false);
    expect(splitter.lastEvent).to.equal("1");
  });
});

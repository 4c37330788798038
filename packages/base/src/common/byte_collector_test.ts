import { expect } from "chai";
import fc from "fast-check";
import { describe, it } from "mocha";
import { ByteCollector } from "./byte_collector.ts";

describe("ByteCollector", () => {
  it("returns the bytes of all pieces in order, and starts anew", () => {
    fc.assert(
      fc.property(
        fc.array(fc.uint8Array({ maxLength: 600 }), { maxLength: 20 }),
        (pieces) => {
          const collector = new ByteCollector();
          pieces.forEach((piece) => collector.append(piece));
          const expected = pieces.flatMap((piece) => [...piece]);
          expect(collector.length).to.equal(expected.length);
          expect(collector.capacity).to.be.at.least(expected.length);
          expect(collector.lastByte).to.equal(expected.at(-1));
          expect([...collector.take()]).to.deep.equal(expected);
          expect(collector.length).to.equal(0);
          collector.append(Uint8Array.of(7));
          expect([...collector.take()]).to.deep.equal([7]);
        },
      ),
      { seed: 3 },
    );
  });

  it("keeps no piece and returns none of its later bytes", () => {
    const collector = new ByteCollector();
    const piece = Uint8Array.of(1, 2);
    collector.append(piece);
    piece.fill(9);
    const taken = collector.take();
    collector.append(Uint8Array.of(3));
    expect([...taken]).to.deep.equal([1, 2]);
  });
});

import { expect } from "chai";
import fc from "fast-check";
import { describe, it } from "mocha";
import { encodeFrame, FrameDecoder, MAXIMUM_FRAME_BYTES } from "./frame.ts";

/** A VM regards a peer that is silent for as long as failed. */
const LIVENESS_MILLISECONDS = 1_500;

function collectFrames(decoder: FrameDecoder): number[][] {
  const frames: number[][] = [];
  for (
    let frame = decoder.next();
    frame !== undefined;
    frame = decoder.next()
  ) {
    frames.push([...frame]);
  }
  return frames;
}

describe("FrameDecoder", () => {
  it("returns the same frames for any split of the bytes", () => {
    fc.assert(
      fc.property(
        fc.array(fc.uint8Array({ maxLength: 40 }), { maxLength: 8 }),
        fc.array(fc.integer({ min: 1, max: 30 }), { minLength: 1 }),
        (payloads, lengths) => {
          const bytes = payloads.flatMap((payload) => [
            ...encodeFrame(payload),
          ]);
          const decoder = new FrameDecoder(MAXIMUM_FRAME_BYTES);
          const frames: number[][] = [];
          for (let offset = 0, piece = 0; offset < bytes.length; piece++) {
            const length = lengths[piece % lengths.length] as number;
            decoder.push(
              Uint8Array.from(bytes.slice(offset, offset + length)),
            );
            frames.push(...collectFrames(decoder));
            offset += length;
          }
          expect(frames).to.deep.equal(payloads.map((each) => [...each]));
          expect(decoder.pendingBytes).to.equal(0);
        },
      ),
      { seed: 5 },
    );
  });

  // Copying all held bytes with each piece takes time in the square of a
  // frame's length, on the only thread of the VM.
  it("decodes the largest frame from small pieces in linear time", () => {
    const bytes = encodeFrame(new Uint8Array(MAXIMUM_FRAME_BYTES));
    const decoder = new FrameDecoder(MAXIMUM_FRAME_BYTES);
    const startedAt = performance.now();
    let frame: Uint8Array | undefined;
    for (let offset = 0; offset < bytes.length; offset += 16) {
      decoder.push(bytes.subarray(offset, offset + 16));
      frame = decoder.next();
    }
    expect(performance.now() - startedAt).to.be.below(LIVENESS_MILLISECONDS);
    expect(frame?.length).to.equal(MAXIMUM_FRAME_BYTES);
  });
});

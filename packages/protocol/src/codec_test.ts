import { Buffer } from "node:buffer";
import { expect } from "chai";
import fastCheck from "fast-check";
import { describe, it } from "mocha";
import { decodeMessage, encodeMessage } from "./codec.ts";
import { encodeFrame, FrameDecoder, MAXIMUM_FRAME_BYTES } from "./frame.ts";
import { MessageKind } from "./message_kind.ts";
import type { EnqueueMessage } from "./scheduling_messages.ts";

const SEED = 11;
const RUNS = 300;

function createEnqueue(organisation: string, avoid: string[]): EnqueueMessage {
  return {
    kind: MessageKind.Enqueue,
    pool: { zone: "zone-a", service: "assistant" },
    entry: {
      request: "6f9619ff-8b86-d011-b42d-00cf4fc964ff",
      ingress: "vm-a1",
      organisation,
      attemptsMade: 0,
      hintedCost: 128,
      waitLimitMilliseconds: 300_000,
      waitedMilliseconds: 0,
      fingerprint: "0123456789abcdef0123456789abcdef",
      prefix: "0123456789abcdef",
      avoid,
    },
  };
}

describe("codec", () => {
  it("returns the message that was encoded", () => {
    fastCheck.assert(
      fastCheck.property(
        fastCheck.string(),
        fastCheck.array(fastCheck.string()),
        (organisation, avoid) => {
          const message = createEnqueue(organisation, avoid);
          const decoded = decodeMessage(encodeMessage(message));
          expect(decoded._unsafeUnwrap()).to.deep.equal(message);
        },
      ),
      { seed: SEED, numRuns: RUNS },
    );
  });

  it("keeps fields whose names have no numeric code", () => {
    const message = { ...createEnqueue("a", []), addedLater: { deep: [1] } };
    const decoded = decodeMessage(encodeMessage(message));
    expect(decoded._unsafeUnwrap()).to.deep.equal(message);
  });

  it("rejects arbitrary bytes without throwing", () => {
    fastCheck.assert(
      fastCheck.property(fastCheck.uint8Array(), (bytes) => {
        const decoded = decodeMessage(bytes);
        expect(decoded.isErr()).to.equal(true);
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });
});

describe("FrameDecoder", () => {
  it("returns the frames however the bytes are split", () => {
    const frames = fastCheck.array(fastCheck.uint8Array({ maxLength: 300 }));
    fastCheck.assert(
      fastCheck.property(
        frames,
        fastCheck.integer({ min: 1, max: 50 }),
        (payloads, size) => {
          const bytes = Buffer.concat(payloads.map(encodeFrame));
          expect(decodeFrames(bytes, size)).to.deep.equal(
            payloads.map((payload) => Buffer.from(payload)),
          );
        },
      ),
      { seed: SEED, numRuns: RUNS },
    );
  });

  it("rejects a frame over the limit before its payload has arrived", () => {
    const decoder = new FrameDecoder(10);
    decoder.push(Uint8Array.of(0, 0, 0, 11));
    expect(() => decoder.next()).to.throw("11 bytes");
    const tooLong = new Uint8Array(MAXIMUM_FRAME_BYTES + 1);
    expect(() => encodeFrame(tooLong)).to.throw("send the message in parts");
  });
});

function decodeFrames(bytes: Uint8Array, size: number): Uint8Array[] {
  const decoder = new FrameDecoder(MAXIMUM_FRAME_BYTES);
  const frames: Uint8Array[] = [];
  for (let start = 0; start < bytes.length; start += size) {
    decoder.push(bytes.subarray(start, start + size));
    let frame = decoder.next();
    while (frame !== undefined) {
      frames.push(Buffer.from(frame));
      frame = decoder.next();
    }
  }
  return frames;
}

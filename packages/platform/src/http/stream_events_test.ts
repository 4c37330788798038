import { expect } from "chai";
import { describe, it } from "mocha";
import { EndpointErrorKind } from "../endpoint_error.ts";
import { readStreamEvents, type StreamEvent } from "./stream_events.ts";

const WHOLE = "id: 1\ndata: a\n\nid: 3\ndata: ö\n\ndata: [DONE]\n\n";

/** Cuts the text into pieces, also within characters and lines. */
async function* splitBytes(text: string, size: number) {
  const bytes = new TextEncoder().encode(text);
  for (let start = 0; start < bytes.length; start += size) {
    yield await Promise.resolve(bytes.subarray(start, start + size));
  }
}

async function collectEvents(text: string, size: number, limit = 1_000) {
  const stream = readStreamEvents(splitBytes(text, size), {
    eventLimitCharacters: limit,
  });
  const events: StreamEvent[] = [];
  let error: string | undefined;
  try {
    for await (const event of stream) {
      events.push(event);
    }
  } catch (thrown) {
    error = (thrown as { kind: string }).kind;
  }
  return { events, complete: stream.complete, error };
}

describe("readStreamEvents", () => {
  for (const size of [1, 2, 7, 1_000]) {
    it(`reads a stream that arrives ${size} bytes at a time`, async () => {
      expect(await collectEvents(WHOLE, size)).to.deep.equal({
        events: [{ offset: 1, data: "a" }, { offset: 3, data: "ö" }],
        complete: true,
        error: undefined,
      });
    });
  }

  const { BadResponse } = EndpointErrorKind;
  const cases: [string, string, boolean, string | undefined][] = [
    ["without its end mark", "id: 1\ndata: a\n\n", false, undefined],
    [
      "cut inside its end mark",
      "id: 1\ndata: a\n\ndata: [DO",
      false,
      undefined,
    ],
    ["with text behind its end", WHOLE + "data: b\n\n", true, BadResponse],
    ["with a wrong id", "id: x\ndata: a\n\n", false, BadResponse],
    [
      "with an over-long event",
      `data: ${"a".repeat(3_000)}\n\n`,
      false,
      BadResponse,
    ],
  ];
  for (const [title, text, complete, error] of cases) {
    it(`judges a stream ${title}`, async () => {
      const read = await collectEvents(text, 16);
      expect(read.complete).to.equal(complete);
      expect(read.error).to.equal(error);
    });
  }

  // The parser limits what it keeps, and it keeps nothing of such lines.
  for (const line of ["id: 1\n", ": comment\n", "\n", "unknown: x\n"]) {
    it(`gives up lines without an event: ${JSON.stringify(line)}`, async () => {
      const { events, error } = await collectEvents(line.repeat(2_000), 64);
      expect(events).to.deep.equal([]);
      expect(error).to.equal(EndpointErrorKind.BadResponse);
    });
  }
});

/** Writes a generation to one connection as server-sent events. */

import type { ServerResponse } from "node:http";
import {
  formatFinishEvent,
  formatTokenEvent,
  STREAM_END,
} from "./completion_format.ts";
import type { EngineFaults } from "./engine_faults.ts";
import { type Generation, GenerationState } from "./generation.ts";

/** How a stream is written. */
export interface StreamOptions {
  model: string;
  /** Tokens that the receiver has already. */
  offset: number;
  faults: EngineFaults;
  /** Cuts the connection after so many tokens; 0 for never. */
  cutAfterTokens: number;
}

/** Writes tokens as they come, until the generation or the connection ends. */
export async function writeStream(
  generation: Generation,
  response: ServerResponse,
  options: StreamOptions,
): Promise<void> {
  let sent = options.offset;
  for (;;) {
    while (sent < generation.generated) {
      sent++;
      const event = formatTokenEvent(generation, sent, options.model);
      writeEvent(response, event, options.faults);
      const delivered = sent - options.offset;
      if (options.cutAfterTokens > 0 && delivered >= options.cutAfterTokens) {
        // What was written still reaches the wire.
        response.socket?.destroySoon();
        return;
      }
    }
    if (response.destroyed) {
      return;
    }
    if (generation.state !== GenerationState.Running) {
      break;
    }
    await generation.waitForProgress();
  }
  if (generation.state !== GenerationState.Completed) {
    response.socket?.resetAndDestroy();
    return;
  }
  response.write(formatFinishEvent(generation, options.model));
  response.end(STREAM_END);
}

function writeEvent(
  response: ServerResponse,
  event: string,
  faults: EngineFaults,
): void {
  response.write(event);
  if (faults.answers.duplication.strikes()) {
    response.write(event);
  }
}

/** One direction of one connection through the proxy. */

import type { Buffer } from "node:buffer";
import { once } from "node:events";
import type { Socket } from "node:net";
import type { Clock } from "@rattanvane/base";
import { Direction, type Link } from "./link.ts";

const MILLISECONDS_PER_SECOND = 1000;

/** What a pipe needs. */
export interface PipeOptions {
  clock: Clock;
  direction: Direction;
  connection: ForwardedConnection;
}

/** A connection through the proxy, as both of its directions see it. */
export interface ForwardedConnection {
  link: Link;
  /**
   * Whether bytes were lost. TCP never delivers what follows a gap, so such a
   * connection passes nothing more and is reset when the link heals.
   */
  hasGap: boolean;
  /** Resets both sides. */
  reset: () => void;
}

/** Passes bytes on, as the link's faults allow, until the source ends. */
export async function runPipe(
  source: Socket,
  target: Socket,
  options: PipeOptions & { signal: AbortSignal },
): Promise<void> {
  const { connection, direction, signal } = options;
  const { link } = connection;
  let passed = 0;
  try {
    for await (const part of source) {
      const bytes = part as Buffer;
      link.count(direction, bytes.length);
      if (connection.hasGap || link.swallows(direction)) {
        connection.hasGap = true;
        continue;
      }
      await waitForLink(bytes.length, options);
      const allowed = computeAllowed(bytes.length, passed, options);
      passed += allowed;
      await writeBytes(target, bytes.subarray(0, allowed), signal);
      if (allowed < bytes.length) {
        // Lets the last allowed bytes reach the receiver before the reset.
        target.destroySoon();
        source.destroySoon();
        return;
      }
    }
    if (!connection.hasGap) {
      target.end();
    }
  } catch {
    // One side broke; the other must see that too.
    connection.reset();
  }
}

async function waitForLink(
  bytes: number,
  options: PipeOptions & { signal: AbortSignal },
): Promise<void> {
  const { delayMilliseconds, bytesPerSecond } = options.connection.link.faults;
  const transfer = bytesPerSecond > 0
    ? (bytes / bytesPerSecond) * MILLISECONDS_PER_SECOND
    : 0;
  if (delayMilliseconds + transfer > 0) {
    await options.clock.sleep(delayMilliseconds + transfer, options.signal);
  }
}

/** Computes how many of the bytes may pass before the connection is cut. */
function computeAllowed(
  bytes: number,
  passed: number,
  options: PipeOptions,
): number {
  const { cutAfterBytes } = options.connection.link.faults;
  if (cutAfterBytes === 0 || options.direction === Direction.ToTarget) {
    return bytes;
  }
  return Math.max(0, Math.min(bytes, cutAfterBytes - passed));
}

async function writeBytes(
  target: Socket,
  bytes: Uint8Array,
  signal: AbortSignal,
): Promise<void> {
  if (bytes.length > 0 && !target.write(bytes)) {
    await once(target, "drain", { signal });
  }
}

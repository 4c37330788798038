/** Divides the memory of a VM. */

import type { MachineLimits } from "../forwarding_settings.ts";

/** What a process takes without the bytes of requests and answers. */
const RESTING_BYTES = 100e6;
/**
 * The part of the rest that may be held. Buffers that are no longer used take
 * the other part until they are collected, and so do bytes that the kernel has
 * received.
 */
const HELD_FRACTION = 0.35;
const MIN_HELD_BYTES = 12e6;
const MAX_HELD_BYTES = 128e6;
/** Applies where the memory of the VM is not known. */
const DEFAULT_HELD_BYTES = 48e6;
/** The part for answers that are not complete yet. */
const ANSWERS_FRACTION = 1 / 3;

/** What a VM may hold, in bytes. */
export interface MemoryBudget {
  /** For bodies, and for answers that callers have not taken. */
  callerBytes: number;
  /** For answers of endpoints that are not complete. */
  answerBytes: number;
}

/** Computes the budget from what the machine has. */
export function computeMemoryBudget(
  { memoryBytes, callerBytes }: MachineLimits,
): MemoryBudget {
  const heldBytes = memoryBytes === undefined ? DEFAULT_HELD_BYTES : Math.min(
    MAX_HELD_BYTES,
    Math.max(MIN_HELD_BYTES, (memoryBytes - RESTING_BYTES) * HELD_FRACTION),
  );
  const answerBytes = heldBytes * ANSWERS_FRACTION;
  return { answerBytes, callerBytes: callerBytes ?? heldBytes - answerBytes };
}

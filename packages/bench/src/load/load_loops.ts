/** Open- and closed-loop load. */

import { type Clock, RandomSource } from "@rattanvane/base";
import { generateCall, type LoadSource } from "./load_source.ts";
import type { LoadTally } from "./load_tally.ts";

const MILLISECONDS_PER_SECOND = 1000;
const SEED_STEP = 7919;

/** How long to load, and where the records go. */
export interface LoadOptions {
  clock: Clock;
  tally: LoadTally;
  seed: number;
  /** No new call begins after this time; those under way end. */
  durationMilliseconds: number;
}

/**
 * Closed loop: each client sends its next call when the one before has ended,
 * so the organisation is backlogged without flooding.
 */
export async function runClosedLoop(
  source: LoadSource,
  options: LoadOptions & { clients: number },
  signal: AbortSignal,
): Promise<void> {
  const { clock, tally, clients } = options;
  const deadline = clock.now() + options.durationMilliseconds;
  const runClient = async (client: number) => {
    const random = new RandomSource(options.seed + client * SEED_STEP);
    let index = client;
    while (clock.now() < deadline && !signal.aborted) {
      const call = generateCall(source, { random, index });
      tally.add(await source.caller.send(call, signal));
      index += clients;
    }
  };
  await Promise.all(
    Array.from({ length: clients }, (_, client) => runClient(client)),
  );
}

/**
 * Open loop: the first call comes at once, the others at random moments at a
 * mean rate, however slowly they are answered. Waits for the last answers.
 */
export async function runOpenLoop(
  source: LoadSource,
  options: LoadOptions & { callsPerSecond: number },
  signal: AbortSignal,
): Promise<void> {
  const { clock, tally, callsPerSecond } = options;
  const deadline = clock.now() + options.durationMilliseconds;
  const random = new RandomSource(options.seed);
  const running: Promise<void>[] = [];
  let nextAt = clock.now();
  for (let index = 0; nextAt < deadline && !signal.aborted; index++) {
    const call = generateCall(source, { random, index });
    running.push(
      source.caller.send(call, signal).then((record) => tally.add(record)),
    );
    nextAt += pickGap(random, callsPerSecond);
    // A late wake-up is made up for, so the mean rate holds.
    const wakeAt = Math.min(nextAt, deadline);
    await clock.sleep(Math.max(0, wakeAt - clock.now()), signal);
  }
  await Promise.all(running);
}

/** Picks the time to the next call, in milliseconds (exponential). */
function pickGap(random: RandomSource, callsPerSecond: number): number {
  const mean = MILLISECONDS_PER_SECOND / callsPerSecond;
  return -Math.log(1 - random.nextFraction()) * mean;
}

/** How the engine stand-in behaves. */

/** Settings of an engine; all times are in milliseconds. */
export interface EngineOptions {
  /** Tells apart the boot ids of engines and of processes. */
  instance: string;
  /** How many requests a warm engine bears at once. */
  slots: number;
  /** How many it bears right after a start. */
  coldSlots: number;
  /** The time in which what it bears doubles; 0 makes it warm at once. */
  warmUpMilliseconds: number;
  /** The time of one step, in which each running request gets a token. */
  tokenMilliseconds: number;
  /** The time before the first token of a prompt that is not cached. */
  prefillMilliseconds: number;
  /** The time before the first token of a prompt whose prefix is cached. */
  cachedPrefillMilliseconds: number;
  /** How long it refuses connections after a crash. */
  restartMilliseconds: number;
  loadLagMilliseconds: number;
  /** How many prefixes its cache holds. */
  cachePrefixes: number;
  cacheEventLagMilliseconds: number;
  /** The fraction of cache events that never appear. */
  cacheEventLoss: number;
  /** A prompt that holds this text crashes the engine; empty for none. */
  crashMarker: string;
  /** Whether it refuses orders with an old fencing number. */
  checksFencing: boolean;
  seed: number;
}

/** Creates the settings of a small, fast engine. */
export function createEngineOptions(
  changes: Partial<EngineOptions> = {},
): EngineOptions {
  return {
    instance: "engine",
    slots: 8,
    coldSlots: 2,
    warmUpMilliseconds: 1000,
    tokenMilliseconds: 5,
    prefillMilliseconds: 20,
    cachedPrefillMilliseconds: 5,
    restartMilliseconds: 500,
    loadLagMilliseconds: 200,
    cachePrefixes: 32,
    cacheEventLagMilliseconds: 300,
    cacheEventLoss: 0.1,
    crashMarker: "",
    checksFencing: false,
    seed: 1,
    ...changes,
  };
}

/** Computes how many requests an engine bears at its uptime. */
export function computeCapacity(
  uptimeMilliseconds: number,
  options: EngineOptions,
): number {
  if (options.warmUpMilliseconds <= 0) {
    return options.slots;
  }
  const doublings = Math.floor(uptimeMilliseconds / options.warmUpMilliseconds);
  return Math.min(options.slots, options.coldSlots * 2 ** doublings);
}

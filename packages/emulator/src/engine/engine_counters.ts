/** What the engine stand-in has counted since its process started. */

/** Counts over all boots of the process. */
export interface EngineCounters {
  /** Requests admitted. */
  started: number;
  completed: number;
  cancelled: number;
  /** Requests that ran when the engine crashed or restarted. */
  lost: number;
  /** Crashes of any cause, overloads included. */
  crashes: number;
  /** Crashes because of more requests than it bore at that time. */
  overloads: number;
  /** Planned restarts. */
  restarts: number;
  mostRunning: number;
  /** Time that requests have run, added up over the requests. */
  slotMilliseconds: number;
  tokens: number;
  cacheHits: number;
}

/** Creates counters at zero. */
export function createEngineCounters(): EngineCounters {
  return {
    started: 0,
    completed: 0,
    cancelled: 0,
    lost: 0,
    crashes: 0,
    overloads: 0,
    restarts: 0,
    mostRunning: 0,
    slotMilliseconds: 0,
    tokens: 0,
    cacheHits: 0,
  };
}

/** Tells schedulers what running attempts have cost so far. */

import type { Clock } from "@rattanvane/base";
import {
  type AttemptCost,
  formatPool,
  MessageKind,
  type MessageSender,
  type PoolId,
} from "@rattanvane/protocol";
import type { CallLedger } from "./call_ledger.ts";
import { CallPhase, type CurrentAttempt } from "./ledger_entry.ts";
import type { SchedulerDirectory } from "./scheduler_directory.ts";

const PERIOD_MILLISECONDS = 1_000;

/** A cost is news when it exceeds what the scheduler knows by this factor. */
const NEWS_FACTOR = 1.125;

/** A sign of life, also while an attempt costs no more than estimated. */
const LIFE_SIGN_MILLISECONDS = 10_000;

/** What the reporter works with. */
export interface CostReporterOptions {
  ledger: CallLedger;
  directory: SchedulerDirectory;
  sender: MessageSender;
  clock: Clock;
}

interface CostBatch {
  pool: PoolId;
  attempts: AttemptCost[];
}

/** Sends one message a pool and period, with the costs that are news. */
export class CostReporter {
  readonly #options: CostReporterOptions;

  constructor(options: CostReporterOptions) {
    this.#options = options;
  }

  /** Reports until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#options.clock.sleep(PERIOD_MILLISECONDS, signal);
      for (const batch of this.#collectBatches()) {
        this.#send(batch);
      }
    }
  }

  #collectBatches(): CostBatch[] {
    const { ledger, clock } = this.#options;
    const now = clock.now();
    const batches = new Map<string, CostBatch>();
    for (const { current } of ledger.listPhase(CallPhase.Running)) {
      if (current === undefined || !isNews(current, now)) {
        continue;
      }
      const key = formatPool(current.pool);
      const batch = batches.get(key) ?? { pool: current.pool, attempts: [] };
      batches.set(key, batch);
      batch.attempts.push(createCost(current));
      current.isBootReported = current.bootId !== "";
      current.reportedCost = Math.max(current.cost, current.reportedCost);
      current.reportedAt = now;
    }
    return [...batches.values()];
  }

  #send({ pool, attempts }: CostBatch): void {
    const { directory, sender } = this.#options;
    const scheduler = directory.findScheduler(pool);
    if (scheduler !== undefined) {
      sender.send(scheduler, { kind: MessageKind.Progress, pool, attempts });
    }
  }
}

/** Whether a scheduler should hear of an attempt's cost. */
function isNews(current: CurrentAttempt, now: number): boolean {
  const exceeds = current.cost > current.reportedCost * NEWS_FACTOR;
  return exceeds || now - current.reportedAt >= LIFE_SIGN_MILLISECONDS;
}

/** One boot id an attempt is enough; it is as long as all the rest. */
function createCost(current: CurrentAttempt): AttemptCost {
  const { attempt, cost } = current;
  const bootId = current.isBootReported ? "" : current.bootId;
  return { attempt, cost, bootId };
}

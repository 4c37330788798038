/** Periodically reports the costs of running attempts to their schedulers. */

import type { Clock } from "@rattanvane/base";
import {
  type AttemptCost,
  formatPool,
  MessageKind,
  type MessageSender,
  type PoolId,
} from "@rattanvane/protocol";
import type { ActiveCallRegistry } from "./active_call_registry.ts";
import { CallPhase, type CurrentAttempt } from "./call_entry.ts";
import type { SchedulerDirectory } from "./scheduler_directory.ts";

const COST_REPORT_INTERVAL_MILLISECONDS = 1_000;

/** A cost is reported once it exceeds the scheduler's figure by this factor. */
const COST_INCREASE_FACTOR = 1.125;

/**
 * Attempts are reported at least this often, as a heartbeat, also while they
 * cost no more than estimated.
 */
const HEARTBEAT_INTERVAL_MILLISECONDS = 10_000;

/** Dependencies of the cost reporter. */
export interface CostReporterOptions {
  callRegistry: ActiveCallRegistry;
  directory: SchedulerDirectory;
  sender: MessageSender;
  clock: Clock;
}

interface CostBatch {
  pool: PoolId;
  attempts: AttemptCost[];
}

/**
 * Sends at most one message for each pool and interval, with only those
 * attempts whose report is due.
 */
export class CostReporter {
  readonly #options: CostReporterOptions;

  constructor(options: CostReporterOptions) {
    this.#options = options;
  }

  /** Sends reports until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#options.clock.sleep(
        COST_REPORT_INTERVAL_MILLISECONDS,
        signal,
      );
      for (const batch of this.#collectBatches()) {
        this.#send(batch);
      }
    }
  }

  /** Groups the due reports by pool and marks them as reported. */
  #collectBatches(): CostBatch[] {
    const { callRegistry, clock } = this.#options;
    const now = clock.now();
    const batches = new Map<string, CostBatch>();
    for (const { current } of callRegistry.listPhase(CallPhase.Running)) {
      if (current === undefined || !isReportDue(current, now)) {
        continue;
      }
      const key = formatPool(current.pool);
      const batch = batches.get(key) ?? { pool: current.pool, attempts: [] };
      batches.set(key, batch);
      batch.attempts.push(createAttemptCost(current));
      current.isBootIdReported = current.bootId !== "";
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

/** Whether the cost rose noticeably, or a heartbeat is due. */
function isReportDue(current: CurrentAttempt, now: number): boolean {
  const hasCostIncreased =
    current.cost > current.reportedCost * COST_INCREASE_FACTOR;
  return hasCostIncreased ||
    now - current.reportedAt >= HEARTBEAT_INTERVAL_MILLISECONDS;
}

/**
 * Creates the report of one attempt. The boot id is sent only once for each
 * attempt, since it is as long as all other fields together.
 */
function createAttemptCost(current: CurrentAttempt): AttemptCost {
  const { attempt, cost } = current;
  const bootId = current.isBootIdReported ? "" : current.bootId;
  return { attempt, cost, bootId };
}

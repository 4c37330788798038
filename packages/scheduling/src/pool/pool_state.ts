/** What the parts of one pool's scheduler share. */

import type { Clock, Logger, RandomSource } from "@rattanvane/base";
import {
  createEmptyConfiguration,
  type FleetConfiguration,
} from "@rattanvane/configuration";
import { CostEstimator } from "@rattanvane/fairness";
import { CrashEvidence, type SuspectRegistry } from "@rattanvane/limits";
import type {
  MessageSender,
  PoolId,
  Term,
  VmContact,
  VmId,
} from "@rattanvane/protocol";
import { AttemptTable } from "./attempt_table.ts";
import { PoolEndpoints } from "./pool_endpoints.ts";
import type { PoolObserver } from "./pool_observer.ts";
import { PoolQueue } from "./pool_queue.ts";
import { PrefixMemory } from "./prefix_memory.ts";
import type { PoolSchedulerSettings } from "./settings.ts";

/** What a pool's scheduler is created with. */
export interface PoolSchedulerOptions {
  pool: PoolId;
  term: Term;
  /** Whether the platform says that nobody else schedules the pool. */
  leased: boolean;
  self: VmId;
  sender: MessageSender;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  settings: PoolSchedulerSettings;
  /** Finds how a VM is reached, for schedulers of other zones. */
  findContact: (vm: VmId) => VmContact | undefined;
  /** The VM's own; it spreads by gossip. */
  suspects: SuspectRegistry;
  observer?: PoolObserver;
}

/** The queue, the endpoints and the attempts of one pool. */
export class PoolState {
  options: PoolSchedulerOptions;
  readonly queue: PoolQueue;
  readonly endpoints: PoolEndpoints;
  readonly attempts = new AttemptTable();
  readonly estimator: CostEstimator;
  readonly prefixes: PrefixMemory;
  readonly evidence: CrashEvidence;
  configuration: FleetConfiguration = createEmptyConfiguration();
  /** Whether a former scheduler passed its counters on. */
  wasHandedOver = false;
  /** The live VMs of the pool's zone. */
  ingresses: ReadonlySet<VmId> = new Set();

  constructor(options: PoolSchedulerOptions) {
    const { settings } = options;
    this.options = options;
    this.queue = new PoolQueue({
      settings: settings.fairness,
      clock: options.clock,
      findWeight: (name) =>
        this.configuration.organisations.get(name)?.weight ?? 1,
    });
    this.endpoints = new PoolEndpoints({
      ...options,
      settings: settings.limits,
      rebuildMilliseconds: settings.rebuildMilliseconds,
    });
    this.estimator = new CostEstimator(settings.estimates);
    this.prefixes = new PrefixMemory(settings.rememberedPrefixes);
    this.evidence = new CrashEvidence(options.suspects);
  }

  /** Goes on under another term, or with or without its lease. */
  updateTerm(term: Term, { leased }: { leased: boolean }): void {
    this.options = { ...this.options, term, leased };
    this.endpoints.updateLease(leased);
  }

  /** The clock's present time. */
  get now(): number {
    return this.options.clock.now();
  }

  /** Whether anything waits, runs, or is to be decided in time. */
  hasWork(): boolean {
    return this.queue.size > 0 || this.attempts.size > 0 ||
      this.evidence.hasUndecided() || this.endpoints.hasUnsettled();
  }

  /** Computes what an entry is charged with at its grant. */
  estimate(organisation: string, hintedCost: number): number {
    const { service } = this.options.pool;
    const configured = this.configuration.services.get(service);
    return this.estimator.estimate({
      organisation,
      service,
      hintedCost,
      initialCost: configured?.initialCostEstimate ?? 1,
    });
  }
}

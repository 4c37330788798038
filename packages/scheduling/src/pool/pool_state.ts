/** State shared by the components of one pool's scheduler. */

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
import { PrefixTracker } from "./prefix_tracker.ts";
import type { PoolSchedulerSettings } from "./settings.ts";

/** Dependencies and initial state of a pool's scheduler. */
export interface PoolSchedulerOptions {
  pool: PoolId;
  term: Term;
  /** Whether a platform lease guarantees that no other scheduler is active. */
  leased: boolean;
  self: VmId;
  sender: MessageSender;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  settings: PoolSchedulerSettings;
  /** Finds a VM's contact details, to be sent to other zones' schedulers. */
  findContact: (vm: VmId) => VmContact | undefined;
  /** The VM's registry of suspect requests, which is shared through gossip. */
  suspects: SuspectRegistry;
  observer?: PoolObserver;
}

/** The queue, endpoints and running attempts of one pool. */
export class PoolState {
  options: PoolSchedulerOptions;
  readonly queue: PoolQueue;
  readonly endpoints: PoolEndpoints;
  readonly attempts = new AttemptTable();
  readonly estimator: CostEstimator;
  readonly prefixes: PrefixTracker;
  readonly evidence: CrashEvidence;
  configuration: FleetConfiguration = createEmptyConfiguration();
  /** Whether the previous scheduler handed over its counters. */
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
    this.prefixes = new PrefixTracker(settings.trackedPrefixesPerEndpoint);
    this.evidence = new CrashEvidence(options.suspects);
  }

  /** Continues under another term, or after the lease was gained or lost. */
  updateTerm(term: Term, { leased }: { leased: boolean }): void {
    this.options = { ...this.options, term, leased };
    this.endpoints.updateLease(leased);
  }

  /** The current clock time, in milliseconds. */
  get now(): number {
    return this.options.clock.now();
  }

  /** Whether requests wait or run, or a time-limited decision is pending. */
  hasWork(): boolean {
    return this.queue.size > 0 || this.attempts.size > 0 ||
      this.evidence.hasUndecided() || this.endpoints.hasUnsettled();
  }

  /** Estimates the cost that is charged to the organisation with a grant. */
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

/** Leads the roll-out of one service, as its owner. */

import type { Clock, Logger } from "@rattanvane/base";
import type {
  RolloutGrant,
  RolloutReport,
  VersionStatistics,
} from "@rattanvane/protocol";
import { ExposureLedger } from "./exposure_ledger.ts";
import {
  computeStageShare,
  isSettled,
  isStageOver,
  RolloutStage,
} from "./rollout_plan.ts";
import {
  RolloutPhase,
  type RolloutRecord,
  type RolloutSettings,
} from "./rollout_record.ts";
import { judgeVersion } from "./version_judge.ts";

/** A process that has not reported for this time gets no allowance. */
const REPORT_LIFETIME_MILLISECONDS = 1_500;
/** Statistics of processes that stopped count for this time. */
const STATISTICS_LIFETIME_MILLISECONDS = 10_000;
/** Minimum time between two reservations; decisions are written at once. */
const RESERVATION_MILLISECONDS = 500;
/** Also with nothing to reserve, the age of the order is written this often. */
const RENEWAL_MILLISECONDS = 2_000;

interface ReportEntry {
  report: RolloutReport;
  receivedAt: number;
  statistics: readonly VersionStatistics[];
}

/** Sums over the reports of all processes. */
interface ReportTotals {
  answered: number;
  /** Whether all processes that were heard lately are live and follow the newest grant. */
  areAllInformed: boolean;
  live: ReadonlySet<string>;
}

/** What the owner sees of the service at its own VM. */
export interface OwnerView {
  /** Whether the operator still orders this version. */
  isOrdered: boolean;
  /** Whether it hears at least half of the schedulers that it heard lately. */
  hearsMajority: boolean;
  rampMilliseconds: number;
  /** Attempts of all VMs that run at endpoints of former versions. */
  formerRunning: number;
  /** Available endpoints of the new version. */
  newEndpoints: number;
  /** The slots of those that are warm. */
  newSlots: number;
  /** The slots of the former versions' available endpoints. */
  formerSlots: number;
  /** Versions that have registered endpoints. */
  registeredVersions: readonly string[];
}

/** Dependencies of a {@link RolloutOwner}. */
export interface RolloutOwnerOptions {
  settings: RolloutSettings;
  clock: Clock;
  logger: Logger;
  /** The record that made this VM the owner. */
  record: RolloutRecord;
}

/**
 * Hands out allowances, moves from stage to stage and decides. Its decisions
 * are proposals until the store has them: {@link step} returns the record to
 * write, and {@link confirm} takes note that it was written.
 */
export class RolloutOwner {
  readonly #options: RolloutOwnerOptions;
  readonly #ledger: ExposureLedger;
  readonly #reports = new Map<string, ReportEntry>();
  readonly #startedAt: number;
  #record: RolloutRecord;
  #stage: RolloutStage;
  #stageStartedAt: number;
  #stageReached = 0;
  #stageAnswers = 0;
  #sequence = 1;
  #problem: string | undefined;
  #writtenAt: number;

  constructor(options: RolloutOwnerOptions) {
    const { record, settings, clock } = options;
    this.#options = options;
    this.#record = record;
    this.#ledger = new ExposureLedger(settings, {
      reached: record.reachedRequests,
      reserved: record.reservedAttempts,
    });
    this.#startedAt = clock.now();
    this.#stageStartedAt = this.#startedAt;
    this.#writtenAt = this.#startedAt;
    this.#stage = record.isTrusted ? RolloutStage.Full : RolloutStage.Canary;
  }

  /** The record that the store holds. */
  get record(): RolloutRecord {
    return this.#record;
  }

  /** When the store last confirmed a write, on the steady clock. */
  get writtenAt(): number {
    return this.#writtenAt;
  }

  /** Takes note of a process's report. */
  recordReport(report: RolloutReport): void {
    if (report.generation !== this.#record.generation) {
      return;
    }
    const now = this.#options.clock.now();
    const known = this.#reports.get(report.process);
    this.#reports.set(report.process, {
      report,
      receivedAt: now,
      statistics: report.statistics ?? known?.statistics ?? [],
    });
    this.#ledger.recordReport(report.process, report, now);
    if (report.isSuspect) {
      this.#suspect("a former owner found it to be worse");
    }
  }

  /**
   * Judges the reports and moves on. Returns the record to write to the store;
   * undefined if there is nothing to write.
   */
  step(view: OwnerView): RolloutRecord | undefined {
    this.#removeOldReports();
    this.#judge(view);
    const totals = this.#sumReports();
    this.#ledger.issue(totals.live, this.#share);
    if (this.#problem !== undefined) {
      return this.#buildRecord({ phase: RolloutPhase.Reverted }, view);
    }
    const progress = {
      stage: this.#stage,
      rampMilliseconds: view.rampMilliseconds,
      elapsedMilliseconds: this.#elapsedMilliseconds,
      stageMilliseconds: this.#stageMilliseconds,
      stageReached: this.#ledger.reached - this.#stageReached,
      stageAnswers: totals.answered - this.#stageAnswers,
      newEndpoints: view.newEndpoints,
      newSlots: view.newSlots,
      formerSlots: view.formerSlots,
    };
    if (isStageOver(progress, this.#options.settings.canaryShare)) {
      const decision = this.#endStage(view, totals);
      if (decision !== undefined) {
        return this.#buildRecord(decision, view);
      }
    }
    return this.#isReservationDue() ? this.#buildRecord({}, view) : undefined;
  }

  /**
   * Whether a record that {@link step} returned may still be written. Reports
   * may have come since, while the store was read.
   */
  isDue({ phase }: RolloutRecord, view: OwnerView): boolean {
    if (this.#problem !== undefined) {
      return phase === RolloutPhase.Reverted;
    }
    return phase !== RolloutPhase.Complete ||
      this.#isSettled(view, this.#sumReports());
  }

  /** Takes note that the store holds a record that {@link step} returned. */
  confirm(record: RolloutRecord): void {
    const isNewlyTrusted = record.isTrusted && !this.#record.isTrusted;
    this.#record = record;
    this.#writtenAt = this.#options.clock.now();
    this.#ledger.updateReserved(record.reservedAttempts);
    if (isNewlyTrusted && record.phase === RolloutPhase.InProgress) {
      this.#startStage(RolloutStage.Full);
    }
  }

  /** Builds the grant for all VMs. */
  buildGrant(): RolloutGrant {
    const { generation, service, term } = this.#record;
    const isSuspect = this.#problem !== undefined;
    return {
      service,
      generation,
      term,
      sequence: this.#sequence,
      share: this.#share,
      isUnlimited: !isSuspect && this.#stage === RolloutStage.Full,
      isSuspect,
      allowances: this.#ledger.listAllowances(this.#listLive()),
    };
  }

  get #share(): number {
    return this.#problem === undefined
      ? computeStageShare(this.#stage, this.#options.settings.canaryShare)
      : 0;
  }

  get #elapsedMilliseconds(): number {
    return this.#record.phase === RolloutPhase.InProgress
      ? this.#recordedElapsed + this.#options.clock.now() - this.#startedAt
      : this.#recordedElapsed;
  }

  get #recordedElapsed(): number {
    return this.#options.record.elapsedMilliseconds;
  }

  get #stageMilliseconds(): number {
    return this.#options.clock.now() - this.#stageStartedAt;
  }

  /** Ends the stage; returns what the store has to hold first, if anything. */
  #endStage(
    view: OwnerView,
    totals: ReportTotals,
  ): Partial<RolloutRecord> | undefined {
    switch (this.#stage) {
      case RolloutStage.Canary:
        this.#startStage(RolloutStage.Trial);
        return undefined;
      case RolloutStage.Trial:
        return { isTrusted: true };
      case RolloutStage.Full:
        return this.#isSettled(view, totals)
          ? { phase: RolloutPhase.Complete }
          : undefined;
    }
  }

  #isSettled(view: OwnerView, totals: ReportTotals): boolean {
    return view.hearsMajority && isSettled({
      formerRunning: view.formerRunning,
      areAllInformed: totals.areAllInformed,
      stageMilliseconds: this.#stageMilliseconds,
      newSlots: view.newSlots,
      formerSlots: view.formerSlots,
    });
  }

  #startStage(stage: RolloutStage): void {
    this.#stage = stage;
    this.#sequence++;
    this.#stageStartedAt = this.#options.clock.now();
    this.#stageReached = this.#ledger.reached;
    this.#stageAnswers = this.#sumReports().answered;
    const { service, version } = this.#record;
    this.#options.logger.info("the roll-out of a version goes on", {
      service,
      version,
      stage,
      share: this.#share,
      reached: this.#ledger.reached,
      reserved: this.#ledger.reserved,
    });
  }

  #judge(view: OwnerView): void {
    if (!view.isOrdered) {
      this.#suspect("the order was withdrawn");
    }
    if (this.#problem !== undefined || this.#record.isReturn) {
      return;
    }
    const statistics = [...this.#reports.values()].flatMap((entry) =>
      entry.statistics
    );
    const { problem } = judgeVersion(statistics);
    if (problem !== undefined) {
      this.#suspect(problem);
    }
  }

  #suspect(problem: string): void {
    if (this.#problem !== undefined) {
      return;
    }
    this.#problem = problem;
    this.#sequence++;
    const { service, version } = this.#record;
    this.#options.logger.warn("a version is worse and gets nothing more", {
      service,
      version,
      problem,
      stage: this.#stage,
      reached: this.#ledger.reached,
      reserved: this.#ledger.reserved,
    });
  }

  #isReservationDue(): boolean {
    const sinceWrite = this.#options.clock.now() - this.#writtenAt;
    const isReservable = this.#stage !== RolloutStage.Full &&
      this.#ledger.reservable > this.#ledger.reserved;
    return sinceWrite >= RENEWAL_MILLISECONDS ||
      isReservable && sinceWrite >= RESERVATION_MILLISECONDS ||
      isReservable && this.#ledger.reserved === 0;
  }

  #buildRecord(
    changes: Partial<RolloutRecord>,
    view: OwnerView,
  ): RolloutRecord {
    const { version, excluded } = this.#record;
    const replaced = new Set(this.#record.replaced);
    for (const registered of view.registeredVersions) {
      if (registered !== version && !excluded.includes(registered)) {
        replaced.add(registered);
      }
    }
    return {
      ...this.#record,
      replaced: [...replaced].slice(0, MAX_REPLACED),
      elapsedMilliseconds: this.#elapsedMilliseconds,
      reachedRequests: this.#ledger.reached,
      reservedAttempts: this.#ledger.reservable,
      ...changes,
    };
  }

  #sumReports(): ReportTotals {
    let answered = 0;
    let areAllInformed = true;
    const live = this.#listLive();
    const { term } = this.#record;
    for (const [process, { report }] of this.#reports) {
      answered += report.answered;
      const isInformed = report.grantTerm === term &&
        report.grantSequence === this.#sequence;
      // One that is cut off may still send to the former version.
      areAllInformed &&= isInformed && live.has(process);
    }
    return { answered, areAllInformed, live };
  }

  #listLive(): ReadonlySet<string> {
    const earliest = this.#options.clock.now() - REPORT_LIFETIME_MILLISECONDS;
    const live = new Set<string>();
    for (const [process, { receivedAt }] of this.#reports) {
      if (receivedAt >= earliest) {
        live.add(process);
      }
    }
    return live;
  }

  #removeOldReports(): void {
    const earliest = this.#options.clock.now() -
      STATISTICS_LIFETIME_MILLISECONDS;
    for (const [process, { receivedAt, report }] of this.#reports) {
      if (receivedAt < earliest) {
        this.#reports.delete(process);
        // Keeps the difference to the answers at the start of the stage.
        this.#stageAnswers -= report.answered;
      }
    }
  }
}

/** Versions that one roll-out may replace. */
const MAX_REPLACED = 16;

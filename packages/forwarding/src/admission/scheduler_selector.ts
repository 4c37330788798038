/** Chooses the VM that schedules this VM's requests. */

import {
  type Clock,
  Emitter,
  type Logger,
  RendezvousScores,
} from "@rattanvane/base";
import type { VmContact, VmId } from "@rattanvane/protocol";

/** A scheduler that did not answer is not chosen again for this time. */
const AVOIDANCE_MILLISECONDS = 1_000;

/** Dependencies of a {@link SchedulerSelector}. */
export interface SchedulerSelectorOptions {
  self: VmId;
  clock: Clock;
  logger: Logger;
  /** Whether this VM schedules its own requests. */
  isScheduler: () => boolean;
  /** The schedulers of this VM's zone. */
  listZoneSchedulers: () => readonly VmContact[];
  /** The schedulers of the other zones, used when none of the zone answers. */
  listOtherSchedulers: () => readonly VmContact[];
}

/**
 * Keeps to one scheduler while it answers, so that what it learns of this VM's
 * requests stays in one place. VMs choose by rendezvous hashing, which spreads
 * them evenly over the schedulers.
 */
export class SchedulerSelector {
  /** Emits a scheduler on whose answers this VM must not wait any longer. */
  readonly losses = new Emitter<VmId>();
  readonly #options: SchedulerSelectorOptions;
  readonly #scores = new RendezvousScores();
  readonly #avoidedUntil = new Map<VmId, number>();
  #current: VmId | undefined;

  constructor(options: SchedulerSelectorOptions) {
    this.#options = options;
  }

  /** The chosen scheduler; undefined while this VM schedules by itself. */
  get current(): VmId | undefined {
    return this.#options.isScheduler() ? undefined : this.#current;
  }

  /** Chooses a scheduler; undefined if this VM schedules by itself. */
  pick(): VmId | undefined {
    const { isScheduler, listZoneSchedulers, listOtherSchedulers } =
      this.#options;
    if (isScheduler()) {
      this.#change(undefined);
      return undefined;
    }
    const zoneSchedulers = listZoneSchedulers();
    const isKept = this.#current !== undefined &&
      !this.#isAvoided(this.#current) &&
      zoneSchedulers.some(({ vm }) => vm === this.#current);
    if (!isKept) {
      this.#change(
        this.#pickFrom(zoneSchedulers) ?? this.#pickFrom(listOtherSchedulers()),
      );
    }
    return this.#current;
  }

  /**
   * Records that a scheduler did not answer in time, that its connection broke,
   * or that it gave up the role.
   */
  recordLoss(vm: VmId, reason: string): void {
    const { clock, logger } = this.#options;
    if (!this.#isAvoided(vm)) {
      logger.info("a scheduler is not used for a while", {
        scheduler: vm,
        reason,
      });
    }
    this.#avoidedUntil.set(vm, clock.now() + AVOIDANCE_MILLISECONDS);
    this.losses.emit(vm);
  }

  #isAvoided(vm: VmId): boolean {
    const until = this.#avoidedUntil.get(vm);
    if (until === undefined) {
      return false;
    }
    if (this.#options.clock.now() < until) {
      return true;
    }
    this.#avoidedUntil.delete(vm);
    return false;
  }

  #pickFrom(schedulers: readonly VmContact[]): VmId | undefined {
    const { self } = this.#options;
    let best: VmId | undefined;
    let bestScore = -1;
    for (const { vm } of schedulers) {
      const score = this.#scores.compute(self, vm);
      if (score > bestScore && vm !== self && !this.#isAvoided(vm)) {
        best = vm;
        bestScore = score;
      }
    }
    return best;
  }

  #change(scheduler: VmId | undefined): void {
    if (scheduler === this.#current) {
      return;
    }
    this.#options.logger.info("another VM schedules this VM's requests", {
      scheduler: scheduler ?? this.#options.self,
      former: this.#current,
    });
    this.#current = scheduler;
  }
}

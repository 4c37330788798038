/** Decides how a roll-out goes on. */

/** The stages of a roll-out in progress, in their order. */
export enum RolloutStage {
  /** A few endpoints of the new version get a small share at ordinary load. */
  Canary = "canary",
  /** A larger share for a short time, from what the canary did not use. */
  Trial = "trial",
  /** All requests; those that run at the former version finish there. */
  Full = "full",
}

/** The canary leaves the rest of the bound to the trial. */
const CANARY_FRACTION_OF_BOUND = 0.3;
const TRIAL_SHARE = 0.35;
/** When the stages begin, as fractions of the ramp. */
const TRIAL_AT = 0.6;
const TRIAL_FRACTION = 0.1;
/** The trial ends by then although it had few answers. */
const MAX_TRIAL_FRACTION = 0.2;
const MIN_STAGE_MILLISECONDS = 1_000;
const CANARY_ANSWERS = 20;
const TRIAL_ANSWERS = 60;
/** The new version gets all requests when it has this part of the room. */
const MIN_ROOM_FRACTION = 0.6;
/** It does not wait for more room than it has after this part of the ramp. */
const FULL_AT = 0.8;
const FULL_FRACTION = 0.1;
/** Requests at the former version that still run then are cut off. */
const MAX_SETTLING_MILLISECONDS = 10_000;
/** The same while most endpoints of the new version are cold. */
const MAX_WARMING_MILLISECONDS = 40_000;

/** What is known of a roll-out in progress. */
export interface RolloutProgress {
  stage: RolloutStage;
  rampMilliseconds: number;
  /** Time since the order. */
  elapsedMilliseconds: number;
  /** Time since the stage began. */
  stageMilliseconds: number;
  /** Requests that reached the service in this stage. */
  stageReached: number;
  /** Answers of the new version in this stage. */
  stageAnswers: number;
  /** Available endpoints of the new version. */
  newEndpoints: number;
  /** The slots of those that are warm. */
  newSlots: number;
  /** The slots of the former version's available endpoints. */
  formerSlots: number;
}

/** Computes the share of requests that the new version is offered. */
export function computeStageShare(
  stage: RolloutStage,
  canaryShare: number,
): number {
  switch (stage) {
    case RolloutStage.Canary:
      return canaryShare * CANARY_FRACTION_OF_BOUND;
    case RolloutStage.Trial:
      return TRIAL_SHARE;
    case RolloutStage.Full:
      return 1;
  }
}

/**
 * Whether the stage may end. The share grows late, so that a version that fails
 * only after a while does so before most requests reach it, and fast, so that
 * the roll-out ends within the ramp.
 */
export function isStageOver(
  progress: RolloutProgress,
  canaryShare: number,
): boolean {
  const { stage, rampMilliseconds, stageMilliseconds } = progress;
  if (progress.newEndpoints === 0) {
    return false;
  }
  const share = computeStageShare(stage, canaryShare);
  // Half of what the share gives, for services with little traffic.
  const expected = Math.floor(progress.stageReached * share / 2);
  switch (stage) {
    case RolloutStage.Canary:
      return progress.elapsedMilliseconds >= TRIAL_AT * rampMilliseconds &&
        stageMilliseconds >= MIN_STAGE_MILLISECONDS &&
        progress.stageAnswers >= Math.min(CANARY_ANSWERS, expected);
    case RolloutStage.Trial: {
      const shortest = Math.max(
        MIN_STAGE_MILLISECONDS,
        TRIAL_FRACTION * rampMilliseconds,
      );
      const isLong = stageMilliseconds >= Math.max(
        2 * MIN_STAGE_MILLISECONDS,
        MAX_TRIAL_FRACTION * rampMilliseconds,
      );
      const mayBeFull = hasRoom(progress) ||
        progress.elapsedMilliseconds >= FULL_AT * rampMilliseconds;
      return mayBeFull && stageMilliseconds >= shortest &&
        (isLong ||
          progress.stageAnswers >= Math.min(TRIAL_ANSWERS, expected));
    }
    case RolloutStage.Full:
      return stageMilliseconds >= Math.max(
        MIN_STAGE_MILLISECONDS,
        FULL_FRACTION * rampMilliseconds,
      );
  }
}

/** Whether nothing is left to wait for at the former version. */
export function isSettled(
  { formerRunning, areAllInformed, stageMilliseconds, ...slots }: {
    /** Attempts that run at endpoints of the former version. */
    formerRunning: number;
    /** Whether all live schedulers stopped sending there. */
    areAllInformed: boolean;
    stageMilliseconds: number;
    newSlots: number;
    formerSlots: number;
  },
): boolean {
  return areAllInformed && formerRunning === 0 ||
    stageMilliseconds >=
      (hasRoom(slots) ? MAX_SETTLING_MILLISECONDS : MAX_WARMING_MILLISECONDS);
}

/** Whether the new version can serve about what the former one can. */
function hasRoom(
  { newSlots, formerSlots }: { newSlots: number; formerSlots: number },
): boolean {
  return newSlots >= MIN_ROOM_FRACTION * formerSlots;
}

/** Settings of the engine chooser. */

import { ShareUsage } from "./share_meter.ts";

/** Limits on the load of an engine that may still accept a request. */
export interface AdmissionLimits {
  /** The usable fraction of the engine's slots. */
  slotFraction: number;
  /**
   * The prefill time of pending and recently sent prompts, as a fraction of the
   * longest acceptable interval between two events.
   */
  pauseFraction: number;
  /**
   * The fraction of the objective that the prefill of other requests may take
   * before that of this one.
   */
  waitFraction: number;
  /** Tokens of shared parts that may be uncached; infinite for no limit. */
  maxMissingTokens: number;
}

/**
 * Weights and limits of the choice. Penalties are added to an engine's
 * predicted time to the first event.
 */
export interface EngineChooserSettings {
  /** The penalty per 1,000 tokens of shared parts that are not cached. */
  cacheMissPenaltyMilliseconds: number;
  /**
   * A prompt is long if its prefill takes more than this fraction of the
   * longest acceptable interval between two events.
   */
  longPromptPauseFraction: number;
  /** The fraction of the engines, at least one, that long prompts go to. */
  longPromptEngineFraction: number;
  /**
   * The fraction of the objective that the prefill of other requests may take
   * before that of a long prompt.
   */
  longPromptWaitFraction: number;
  /** The penalty for a short prompt on an engine that long prompts go to. */
  shortPromptPenaltyMilliseconds: number;
  /** The penalty for a long prompt, for each stream that it delays. */
  delayedStreamPenaltyMilliseconds: number;
  /** Limits by the organisation's share usage; lower usage allows more load. */
  admissionLimits: Record<ShareUsage, AdmissionLimits>;
  /**
   * An engine that runs less than this fraction of its slots, and has read
   * nothing recently, accepts prompts whatever part of them it has not cached.
   */
  idleSlotFraction: number;
  /**
   * How many more engines other prompts need than long ones for the same
   * prefill time; undefined for the default of the measurement.
   */
  otherEnginesFactor?: number;
  /** The fraction of the remaining objective that a prediction may use. */
  objectiveFraction: number;
  /** The fraction of the objective that a request waits for its best engine. */
  affinityWaitFraction: number;
  /** A request waits for its best engine only if the cost is lower by this. */
  minWaitBenefitMilliseconds: number;
  /** The penalty for an engine that fails all requests. */
  failurePenaltyMilliseconds: number;
  /** The penalty for an engine that is down or has failed the request. */
  avoidancePenaltyMilliseconds: number;
  /**
   * The relative increase of the predicted time at an engine without free slots,
   * where engines report their speed.
   */
  reportedLoadWeight: number;
}

const WITHIN_SHARE_LIMITS: AdmissionLimits = {
  slotFraction: 0.85,
  pauseFraction: 0.7,
  waitFraction: 0.25,
  maxMissingTokens: Infinity,
};

/** Default settings, suitable for most fleets. */
export const DEFAULT_ENGINE_CHOOSER_SETTINGS: EngineChooserSettings = {
  cacheMissPenaltyMilliseconds: 120,
  longPromptPauseFraction: 0.7,
  longPromptEngineFraction: 0.17,
  longPromptWaitFraction: 0.25,
  shortPromptPenaltyMilliseconds: 250,
  delayedStreamPenaltyMilliseconds: 150,
  admissionLimits: {
    [ShareUsage.Low]: WITHIN_SHARE_LIMITS,
    [ShareUsage.Within]: WITHIN_SHARE_LIMITS,
    [ShareUsage.Over]: {
      slotFraction: 0.6,
      pauseFraction: 0.55,
      waitFraction: 0.25,
      maxMissingTokens: 300,
    },
    [ShareUsage.FarOver]: {
      slotFraction: 0.4,
      pauseFraction: 0.4,
      waitFraction: 0.15,
      maxMissingTokens: 300,
    },
  },
  idleSlotFraction: 0,
  objectiveFraction: 0.9,
  affinityWaitFraction: 0.55,
  minWaitBenefitMilliseconds: 80,
  failurePenaltyMilliseconds: 2_000,
  avoidancePenaltyMilliseconds: 2_000,
  reportedLoadWeight: 0.5,
};

/** Settings for a service whose refused callers have places. */
export const KEPT_PLACES_ENGINE_CHOOSER_SETTINGS: EngineChooserSettings = {
  ...DEFAULT_ENGINE_CHOOSER_SETTINGS,
  idleSlotFraction: 0.25,
  otherEnginesFactor: 3.4,
};

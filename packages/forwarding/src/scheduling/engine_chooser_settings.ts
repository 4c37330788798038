/** What engines are chosen by. */

/** How the chooser weighs what speaks for and against an endpoint. */
export interface EngineChooserSettings {
  /** Reading 1,000 tokens of shared parts again counts as so much time. */
  rereadMilliseconds: number;
  /** A prompt is long if reading it takes this part of the pause allowed. */
  longPauseShare: number;
  /** The part of the engines, one at least, that long prompts go to. */
  longEngineShare: number;
  /** What speaks against a short prompt where long ones go. */
  shortBesideLongMilliseconds: number;
  /** What speaks against a long prompt, for each stream that it delays. */
  delayedStreamMilliseconds: number;
  /** What short prompts together are read for, as a part of that pause. */
  backlogPauseShare: number;
  /** The part of the objective that the prediction may take. */
  objectiveShare: number;
  /** The part of the objective that others' work may take before any prompt. */
  leastWaitShare: number;
  /** The part of the objective that a request waits for its best engine. */
  patienceShare: number;
  /** A better engine is waited for if it is better by so much. */
  worthWaitingMilliseconds: number;
  /** The part of the slots that is used. */
  slotShare: number;
  /** The part of the slots that is used by who is over its share. */
  spareSlotShare: number;
  /** An engine that fails everything counts as so much slower. */
  failureMilliseconds: number;
  /** An engine that is down, or failed the request, counts as so much slower. */
  avoidedMilliseconds: number;
}

/** The settings that fit most fleets. */
export const DEFAULT_ENGINE_CHOOSER_SETTINGS: EngineChooserSettings = {
  rereadMilliseconds: 120,
  longPauseShare: 0.45,
  longEngineShare: 0.33,
  shortBesideLongMilliseconds: 250,
  delayedStreamMilliseconds: 150,
  backlogPauseShare: 0.55,
  objectiveShare: 0.9,
  leastWaitShare: 0.25,
  patienceShare: 0.55,
  worthWaitingMilliseconds: 80,
  slotShare: 0.85,
  spareSlotShare: 0.4,
  failureMilliseconds: 2_000,
  avoidedMilliseconds: 2_000,
};

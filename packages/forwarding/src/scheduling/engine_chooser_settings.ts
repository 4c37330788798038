/** What engines are chosen by. */

import { ShareStanding } from "./share_meter.ts";

/** How far an engine may be filled. */
export interface RoomLimits {
  /** The part of the slots that is used. */
  slotShare: number;
  /** What is read within a pause's time, as a part of that pause. */
  pauseShare: number;
  /** The part of the objective that others' work may take before a prompt. */
  waitShare: number;
  /** Tokens of shared parts that may be read again; infinite for any number. */
  rereadTokens: number;
}

/** How the chooser weighs what speaks for and against an endpoint. */
export interface EngineChooserSettings {
  /** Reading 1,000 tokens of shared parts again counts as so much time. */
  rereadMilliseconds: number;
  /** A prompt is long if reading it takes this part of the pause allowed. */
  longPauseShare: number;
  /** The part of the engines, one at least, that long prompts go to. */
  longEngineShare: number;
  /** The part of the objective that others' work may take before a long one. */
  longWaitShare: number;
  /** What speaks against a short prompt where long ones go. */
  shortBesideLongMilliseconds: number;
  /** What speaks against a long prompt, for each stream that it delays. */
  delayedStreamMilliseconds: number;
  /** How far engines are filled for whom; who has had least gets most. */
  room: Record<ShareStanding, RoomLimits>;
  /** The part of the objective that the prediction may take. */
  objectiveShare: number;
  /** The part of the objective that a request waits for its best engine. */
  patienceShare: number;
  /** A better engine is waited for if it is better by so much. */
  worthWaitingMilliseconds: number;
  /** An engine that fails everything counts as so much slower. */
  failureMilliseconds: number;
  /** An engine that is down, or failed the request, counts as so much slower. */
  avoidedMilliseconds: number;
}

const OWED_ROOM: RoomLimits = {
  slotShare: 0.85,
  pauseShare: 0.7,
  waitShare: 0.25,
  rereadTokens: Infinity,
};

/** The settings that fit most fleets. */
export const DEFAULT_ENGINE_CHOOSER_SETTINGS: EngineChooserSettings = {
  rereadMilliseconds: 120,
  longPauseShare: 0.7,
  longEngineShare: 0.17,
  longWaitShare: 0.25,
  shortBesideLongMilliseconds: 250,
  delayedStreamMilliseconds: 150,
  room: {
    [ShareStanding.Low]: OWED_ROOM,
    [ShareStanding.Within]: OWED_ROOM,
    [ShareStanding.Over]: {
      slotShare: 0.6,
      pauseShare: 0.55,
      waitShare: 0.25,
      rereadTokens: 300,
    },
    [ShareStanding.FarOver]: {
      slotShare: 0.4,
      pauseShare: 0.4,
      waitShare: 0.15,
      rereadTokens: 300,
    },
  },
  objectiveShare: 0.9,
  patienceShare: 0.55,
  worthWaitingMilliseconds: 80,
  failureMilliseconds: 2_000,
  avoidedMilliseconds: 2_000,
};

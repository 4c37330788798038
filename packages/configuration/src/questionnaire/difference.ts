/** Where the configuration departs from a team's answers, and stays so. */

/** Why an answer is not put into the configuration. */
export enum DifferenceReason {
  /** The answer is as before; somebody has changed the configuration. */
  ChangedByHand = "changedByHand",
  /** Both the answer and the configuration have changed. */
  ChangedOnBothSides = "changedOnBothSides",
  /** The part was there before the team answered for the first time. */
  ExistedBefore = "existedBefore",
  /** Somebody has removed the part. */
  RemovedByHand = "removedByHand",
  /** The team has dropped the part, but somebody has changed it. */
  DroppedButChanged = "droppedButChanged",
}

/** One departure; it is shown and never overwritten. */
export interface Difference {
  reason: DifferenceReason;
  /** What it is about, such as `service "captions"`. */
  subject: string;
  /** Empty when it is about the whole part. */
  field: string;
  answered: unknown;
  configured: unknown;
}

const REASONS: Record<DifferenceReason, string> = {
  [DifferenceReason.ChangedByHand]: "changed by hand since",
  [DifferenceReason.ChangedOnBothSides]: "changed in the form and by hand",
  [DifferenceReason.ExistedBefore]: "there before the form",
  [DifferenceReason.RemovedByHand]: "removed by hand since",
  [DifferenceReason.DroppedButChanged]:
    "dropped from the form, but changed by hand since",
};

/** Describes a departure in one line. */
export function describeDifference(difference: Difference): string {
  const { answered, configured, field, reason, subject } = difference;
  if (field === "") {
    return `${subject}: ${REASONS[reason]}; left as it is`;
  }
  return `${subject}, ${field}: ${REASONS[reason]}; ` +
    `stays ${JSON.stringify(configured)}, the form says ` +
    JSON.stringify(answered);
}

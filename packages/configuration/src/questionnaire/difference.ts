/** Differences between answers and configuration that are not resolved. */

/** Why an answer is not applied to the configuration. */
export enum DifferenceReason {
  /** Only the configuration has changed since the last generation. */
  ChangedByHand = "changedByHand",
  /** Both the answer and the configuration have changed. */
  ChangedOnBothSides = "changedOnBothSides",
  /** The part existed before the team's first questionnaire. */
  ExistedBefore = "existedBefore",
  /** The part was removed from the configuration by hand. */
  RemovedByHand = "removedByHand",
  /** The team deleted the part, but it was changed by hand. */
  DroppedButChanged = "droppedButChanged",
}

/** A difference that is reported; the configured value is kept. */
export interface Difference {
  reason: DifferenceReason;
  /** The kind and name of the part, such as `service "captions"`. */
  subject: string;
  /** The field's name; empty if the difference concerns the whole part. */
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

/** Describes a difference in one line. */
export function describeDifference(difference: Difference): string {
  const { answered, configured, field, reason, subject } = difference;
  if (field === "") {
    return `${subject}: ${REASONS[reason]}; left as it is`;
  }
  return `${subject}, ${field}: ${REASONS[reason]}; ` +
    `stays ${JSON.stringify(configured)}, the form says ` +
    JSON.stringify(answered);
}

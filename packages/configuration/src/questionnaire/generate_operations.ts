/**
 * Generates operations from questionnaires by a three-way comparison of the
 * answers at the last generation, the current answers and the configuration.
 * Only fields that changed in the answers, and not by hand, result in an
 * operation.
 */

import { type Operation, OperationKind } from "../change.ts";
import { describeSubject } from "../describe_operation.ts";
import { Draft } from "../draft.ts";
import type { FleetConfiguration } from "../model.ts";
import { buildParts } from "./build_parts.ts";
import { type Difference, DifferenceReason } from "./difference.ts";
import {
  createPut,
  findFields,
  isSameValue,
  type PartFields,
  readFields,
} from "../part_fields.ts";
import type { Questionnaire } from "./questionnaire.ts";

/** Fields that questionnaires never overwrite; only operators set them. */
const OPERATOR_FIELDS: ReadonlySet<string> = new Set(["drained"]);

/** A team's current answers and those that were last applied. */
export interface AnsweredQuestionnaire {
  answers: Questionnaire;
  previous: Questionnaire | undefined;
}

/** The operations to apply and the differences to report. */
export interface GeneratedOperations {
  operations: Operation[];
  differences: Difference[];
}

/** Generates the operations that bring a configuration up to the answers. */
export function generateOperations(
  questionnaires: readonly AnsweredQuestionnaire[],
  current: FleetConfiguration,
): GeneratedOperations {
  const generated: GeneratedOperations = { operations: [], differences: [] };
  for (const questionnaire of questionnaires) {
    // If two teams describe the same part, the first team's part takes effect
    // first, and the second team's answers are compared with it.
    const draft = new Draft(current);
    generated.operations.forEach((operation) => draft.apply(operation));
    const step = generateFromOne(questionnaire, draft.build(current.version));
    generated.operations.push(...step.operations);
    generated.differences.push(...step.differences);
  }
  return generated;
}

function generateFromOne(
  questionnaire: AnsweredQuestionnaire,
  current: FleetConfiguration,
): GeneratedOperations {
  const { answers, previous } = questionnaire;
  const before = collectParts(previous);
  const answered = collectParts(answers);
  const steps: GeneratedOperations[] = [];
  for (const [subject, part] of answered) {
    steps.push(mergePart(part, { subject, before, current }));
  }
  for (const [subject, part] of before) {
    if (!answered.has(subject)) {
      steps.push(removePart(part, { subject, current }));
    }
  }
  return {
    operations: steps.flatMap((step) => step.operations),
    differences: steps.flatMap((step) => step.differences),
  };
}

function collectParts(
  questionnaire: Questionnaire | undefined,
): Map<string, Operation> {
  const parts = questionnaire === undefined ? [] : buildParts(questionnaire);
  return new Map(parts.map((part) => [describeSubject(part), part]));
}

function mergePart(
  part: Operation,
  context: {
    subject: string;
    before: ReadonlyMap<string, Operation>;
    current: FleetConfiguration;
  },
): GeneratedOperations {
  const { subject, before, current } = context;
  const answered = readFields(part) ?? {};
  const earlier = before.get(subject);
  const configured = findFields(part, current);
  if (configured === undefined) {
    return earlier === undefined
      ? { operations: [part], differences: [] }
      : createWholeDifference(subject, DifferenceReason.RemovedByHand);
  }
  const merged = mergeFields({
    subject,
    answered,
    configured,
    earlier: earlier === undefined ? undefined : readFields(earlier),
  });
  const operations = isSameValue(merged.fields, configured)
    ? []
    : [createPut(part, merged.fields)];
  return { operations, differences: merged.differences };
}

function mergeFields(
  sides: {
    subject: string;
    answered: PartFields;
    configured: PartFields;
    earlier: PartFields | undefined;
  },
): { fields: PartFields; differences: Difference[] } {
  const { answered, configured, earlier, subject } = sides;
  const fields: Record<string, unknown> = { ...configured };
  const differences: Difference[] = [];
  for (const [field, answer] of Object.entries(answered)) {
    const value = configured[field];
    if (OPERATOR_FIELDS.has(field) || isSameValue(answer, value)) {
      continue;
    }
    if (earlier !== undefined && isSameValue(value, earlier[field])) {
      fields[field] = answer;
      continue;
    }
    const reason = pickReason(answer, earlier?.[field], earlier !== undefined);
    differences.push({
      reason,
      subject,
      field,
      answered: answer,
      configured: value,
    });
  }
  return { fields, differences };
}

function pickReason(
  answer: unknown,
  earlier: unknown,
  hasEarlier: boolean,
): DifferenceReason {
  if (!hasEarlier) {
    return DifferenceReason.ExistedBefore;
  }
  return isSameValue(answer, earlier)
    ? DifferenceReason.ChangedByHand
    : DifferenceReason.ChangedOnBothSides;
}

/** Removes parts that a team deleted; keeps zones, which others may use. */
function removePart(
  part: Operation,
  context: { subject: string; current: FleetConfiguration },
): GeneratedOperations {
  const configured = findFields(part, context.current);
  const removal = createRemoval(part);
  if (configured === undefined || removal === undefined) {
    return { operations: [], differences: [] };
  }
  const earlier = readFields(part) ?? {};
  const isUnchanged = Object.entries(earlier).every(([field, value]) =>
    OPERATOR_FIELDS.has(field) || isSameValue(value, configured[field])
  );
  return isUnchanged
    ? { operations: [removal], differences: [] }
    : createWholeDifference(
      context.subject,
      DifferenceReason.DroppedButChanged,
    );
}

function createRemoval(part: Operation): Operation | undefined {
  switch (part.kind) {
    case OperationKind.PutService:
      return { kind: OperationKind.RemoveService, name: part.service.name };
    case OperationKind.PutEndpoint:
      return { kind: OperationKind.RemoveEndpoint, name: part.endpoint.name };
    default:
      return undefined;
  }
}

function createWholeDifference(
  subject: string,
  reason: DifferenceReason,
): GeneratedOperations {
  const difference: Difference = {
    reason,
    subject,
    field: "",
    answered: undefined,
    configured: undefined,
  };
  return { operations: [], differences: [difference] };
}

/** Compares configurations before and after operations. */

import type { Operation } from "./change.ts";
import { describeSubject } from "./describe_operation.ts";
import { Draft } from "./draft.ts";
import type { FleetConfiguration } from "./model.ts";
import { findFields, isSameValue, type PartFields } from "./part_fields.ts";

/** How operations affect a part. */
export enum PartChangeKind {
  Added = "added",
  Changed = "changed",
  Removed = "removed",
}

/** The old and new value of a field. */
export interface FieldChange {
  field: string;
  before: unknown;
  after: unknown;
}

/** The effect of operations on one part. */
export interface PartChange {
  kind: PartChangeKind;
  /** The kind and name of the part, such as `service "captions"`. */
  subject: string;
  /** All fields of an added part; the differing fields of a changed part. */
  fields: FieldChange[];
}

/** Collects the effects of operations; omits operations without effect. */
export function collectDifferences(
  operations: readonly Operation[],
  before: FleetConfiguration,
): PartChange[] {
  const draft = new Draft(before);
  operations.forEach((operation) => draft.apply(operation));
  const after = draft.build(before.version);
  const last = new Map(
    operations.map((operation) => [describeSubject(operation), operation]),
  );
  return [...last].flatMap(([subject, operation]) => {
    const fields = {
      before: findFields(operation, before),
      after: findFields(operation, after),
    };
    return compareParts(subject, fields);
  });
}

function compareParts(
  subject: string,
  parts: { before: PartFields | undefined; after: PartFields | undefined },
): PartChange[] {
  if (parts.after === undefined) {
    return parts.before === undefined
      ? []
      : [{ kind: PartChangeKind.Removed, subject, fields: [] }];
  }
  const fields = compareFields(parts.before ?? {}, parts.after);
  if (parts.before === undefined) {
    return [{ kind: PartChangeKind.Added, subject, fields }];
  }
  return fields.length === 0
    ? []
    : [{ kind: PartChangeKind.Changed, subject, fields }];
}

function compareFields(before: PartFields, after: PartFields): FieldChange[] {
  return Object.keys(after)
    .filter((field) => !isSameValue(before[field], after[field]))
    .map((field) => ({ field, before: before[field], after: after[field] }));
}

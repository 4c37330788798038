/** Shows changes of the configuration as lines. */

import { type PartChange, PartChangeKind } from "@rattanvane/configuration";

const SIGNS: Record<PartChangeKind, string> = {
  [PartChangeKind.Added]: "+",
  [PartChangeKind.Changed]: "~",
  [PartChangeKind.Removed]: "-",
};

/** Formats one line for each part and one for each field. */
export function formatDifferences(changes: readonly PartChange[]): string {
  return changes.flatMap((change) => {
    const fields = change.fields.map(({ after, before, field }) => {
      const old = before === undefined ? "" : `${JSON.stringify(before)} -> `;
      return `    ${field}: ${old}${JSON.stringify(after)}`;
    });
    return [`${SIGNS[change.kind]} ${change.subject}`, ...fields];
  }).join("\n");
}

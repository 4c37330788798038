/**
 * Logs membership changes in this VM's zone and among the contacts in other
 * zones.
 */

import type { Logger } from "@rattanvane/base";
import type { VmUpdate } from "@rattanvane/protocol";
import { MembershipChangeKind } from "./zone_view.ts";

/** A membership change and the update that caused it. */
export interface LoggedChange {
  change: MembershipChangeKind;
  update: VmUpdate;
}

/** Writes one log line for a membership change. */
export function writeChange(logger: Logger, logged: LoggedChange): void {
  const { contact, incarnation } = logged.update;
  const fields = { vm: contact.vm, zone: contact.zone, incarnation };
  switch (logged.change) {
    case MembershipChangeKind.Died:
      logger.warn("VM declared dead", fields);
      return;
    case MembershipChangeKind.Suspected:
      logger.info("VM suspected of failure", fields);
      return;
    case MembershipChangeKind.Joined:
      logger.info("VM joined", fields);
      return;
    case MembershipChangeKind.Left:
      logger.info("VM announced that it is leaving", fields);
      return;
    case MembershipChangeKind.Recovered:
    case MembershipChangeKind.Renewed:
      logger.debug("VM refuted a suspicion or restarted", fields);
  }
}

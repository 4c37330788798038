/** The log lines of changes in the zone and among the contacts. */

import type { Logger } from "@rattanvane/base";
import type { VmUpdate } from "@rattanvane/protocol";
import { MembershipChangeKind } from "./zone_view.ts";

/** A change and the news that brought it. */
export interface LoggedChange {
  change: MembershipChangeKind;
  update: VmUpdate;
}

/** Writes one line for a change. */
export function writeChange(logger: Logger, logged: LoggedChange): void {
  const { contact, incarnation } = logged.update;
  const fields = { vm: contact.vm, zone: contact.zone, incarnation };
  switch (logged.change) {
    case MembershipChangeKind.Died:
      logger.warn("VM is held dead", fields);
      return;
    case MembershipChangeKind.Suspected:
      logger.info("VM is suspected", fields);
      return;
    case MembershipChangeKind.Joined:
      logger.info("VM joined", fields);
      return;
    case MembershipChangeKind.Left:
      logger.info("VM announced that it leaves", fields);
      return;
    case MembershipChangeKind.Recovered:
    case MembershipChangeKind.Renewed:
      logger.debug("VM refuted a suspicion or restarted", fields);
  }
}

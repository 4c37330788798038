/** How a part of the router reaches other VMs. */

import type { VmContact, VmId } from "./identifiers.ts";
import type { Message } from "./messages.ts";

/**
 * Sends messages to VMs, the own one included. Delivery is best effort and in
 * order for each VM; a message to a VM that cannot be reached is dropped, and
 * the sender's own timeouts and rebuilds have to cover that.
 */
export abstract class MessageSender {
  /** Queues a message; never blocks and never throws. */
  abstract send(vm: VmId, message: Message): void;

  /** Makes a VM's addresses known, replacing what was known of it. */
  abstract learnContact(contact: VmContact): void;
}

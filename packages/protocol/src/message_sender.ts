/** Sending messages to other VMs. */

import type { VmContact, VmId } from "./identifiers.ts";
import type { Message } from "./messages.ts";

/**
 * Sends messages to VMs, including the local one. Delivery is best effort and
 * ordered per VM. Messages to an unreachable VM are dropped; senders must recover
 * by their own timeouts and state rebuilds.
 */
export abstract class MessageSender {
  /** Enqueues a message; never blocks and never throws. */
  abstract send(vm: VmId, message: Message): void;

  /** Registers a VM's addresses, replacing any previous ones. */
  abstract registerContact(contact: VmContact): void;
}

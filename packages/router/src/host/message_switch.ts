/** Routes the messages of peers to the components that handle them. */

import type { ConfigurationPeer } from "@rattanvane/configuration";
import type { Membership } from "@rattanvane/membership";
import type { ForwardingRowWriter, KeyForwarder } from "@rattanvane/once";
import { type Message, MessageKind, type VmId } from "@rattanvane/protocol";
import type { PoolOwnership } from "@rattanvane/scheduling";
import type { Dispatcher } from "../ingress/dispatcher.ts";
import type { SchedulerHost } from "./scheduler_host.ts";

/** The components that handle messages. */
export interface MessageSwitchOptions {
  membership: Membership;
  dispatcher: Dispatcher;
  host: SchedulerHost;
  ownership: PoolOwnership;
  peer: ConfigurationPeer;
  forwarder: KeyForwarder;
  rowWriter: ForwardingRowWriter;
}

/** Selects the component that handles each kind of message. */
export class MessageSwitch {
  readonly #options: MessageSwitchOptions;

  constructor(options: MessageSwitchOptions) {
    this.#options = options;
  }

  /** Passes a message to its component. */
  handle(from: VmId, message: Message): void {
    const { membership, dispatcher, host, ownership, peer } = this.#options;
    const { forwarder, rowWriter } = this.#options;
    switch (message.kind) {
      case MessageKind.Probe:
      case MessageKind.ProbeReply:
      case MessageKind.IndirectProbe:
      case MessageKind.IndirectProbeReply:
        return membership.handle(from, message);
      case MessageKind.Grant:
      case MessageKind.Refuse:
      case MessageKind.RequestWork:
      case MessageKind.NotScheduler:
      case MessageKind.EntryMoved:
        return dispatcher.handle(from, message);
      case MessageKind.RequestChanges:
      case MessageKind.Changes:
      case MessageKind.AnnounceVersion:
        return peer.handle(from, message);
      case MessageKind.RunKey:
      case MessageKind.KeyResult:
        return forwarder.handle(message, from);
      case MessageKind.WriteRow:
      case MessageKind.RowResult:
        return rowWriter.handle(message, from);
      case MessageKind.Handover:
        ownership.handleHandover(message.pool);
        return host.handle(from, message);
      case MessageKind.ForwardingState:
      case MessageKind.EndpointDeparture:
      case MessageKind.EndpointLimit:
      case MessageKind.RequestTable:
      case MessageKind.TableCopy:
      case MessageKind.TableChanges:
      case MessageKind.ZoneSchedulers:
      case MessageKind.SubmitRequest:
      case MessageKind.WithdrawRequest:
      case MessageKind.RequestQueued:
      case MessageKind.GrantRequest:
      case MessageKind.RefuseRequest:
      case MessageKind.AttemptAnswering:
      case MessageKind.AttemptEnded:
      case MessageKind.MemberSync:
      case MessageKind.MemberSyncReply:
        // Sent by VMs that serve forwarding routes, which this router does not.
        return;
      default:
        return host.handle(from, message);
    }
  }
}

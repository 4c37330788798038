/** Union types of the messages between routers. */

import type * as admission from "./admission_messages.ts";
import type * as configuration from "./configuration_messages.ts";
import type * as forwarding from "./forwarding_messages.ts";
import type * as key from "./key_messages.ts";
import type * as membership from "./membership_messages.ts";
import type * as row from "./row_messages.ts";
import type * as scheduling from "./scheduling_messages.ts";

/** Messages of failure detection. */
export type MembershipMessage =
  | membership.ProbeMessage
  | membership.ProbeReplyMessage
  | membership.IndirectProbeMessage
  | membership.IndirectProbeReplyMessage;

/** Messages to the scheduler of a pool. */
export type SchedulerMessage =
  | scheduling.EnqueueMessage
  | scheduling.CancelEntryMessage
  | scheduling.DeclineGrantMessage
  | scheduling.ProgressMessage
  | scheduling.FinishMessage
  | scheduling.WorkReportMessage
  | scheduling.HandoverMessage
  | scheduling.CounterDeltaMessage
  | scheduling.OfferMessage
  | scheduling.MoveEntriesMessage
  | scheduling.EntriesTakenMessage;

/** Messages to an ingress. */
export type IngressMessage =
  | scheduling.GrantMessage
  | scheduling.RefuseMessage
  | scheduling.RequestWorkMessage
  | scheduling.NotSchedulerMessage
  | scheduling.EntryMovedMessage;

/** Messages that replicate the configuration. */
export type ConfigurationMessage =
  | configuration.AnnounceVersionMessage
  | configuration.RequestChangesMessage
  | configuration.ChangesMessage;

/** Messages about calls with issued idempotency keys. */
export type KeyMessage = key.RunKeyMessage | key.KeyResultMessage;

/** Messages about row writes delegated to a collector. */
export type RowMessage = row.WriteRowMessage | row.RowResultMessage;

/** Messages between VMs that serve forwarding routes. */
export type ForwardingMessage =
  | forwarding.ForwardingStateMessage
  | forwarding.EndpointDepartureMessage
  | forwarding.EndpointLimitMessage
  | forwarding.RequestTableMessage
  | forwarding.TableCopyMessage
  | admission.TableChangesMessage
  | admission.ZoneSchedulersMessage;

/** Messages from a member to the scheduler of its requests. */
export type MemberMessage =
  | admission.SubmitRequestMessage
  | admission.WithdrawRequestMessage
  | admission.AttemptAnsweringMessage
  | admission.AttemptEndedMessage
  | admission.MemberSyncMessage;

/** Messages from a scheduler to a member. */
export type AdmissionMessage =
  | admission.RequestQueuedMessage
  | admission.GrantRequestMessage
  | admission.RefuseRequestMessage
  | admission.MemberSyncReplyMessage;

/** Any message between routers. */
export type Message =
  | MembershipMessage
  | SchedulerMessage
  | IngressMessage
  | ConfigurationMessage
  | KeyMessage
  | RowMessage
  | ForwardingMessage
  | MemberMessage
  | AdmissionMessage;

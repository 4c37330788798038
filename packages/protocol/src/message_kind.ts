/** The kinds of messages between routers. */

/** Tells a receiver how to read a message. */
export enum MessageKind {
  Probe = "probe",
  ProbeReply = "probeReply",
  IndirectProbe = "indirectProbe",
  IndirectProbeReply = "indirectProbeReply",
  Enqueue = "enqueue",
  CancelEntry = "cancelEntry",
  Grant = "grant",
  DeclineGrant = "declineGrant",
  Refuse = "refuse",
  Progress = "progress",
  Finish = "finish",
  RequestWork = "requestWork",
  WorkReport = "workReport",
  NotScheduler = "notScheduler",
  Handover = "handover",
  CounterDelta = "counterDelta",
  Offer = "offer",
  MoveEntries = "moveEntries",
  EntriesTaken = "entriesTaken",
  EntryMoved = "entryMoved",
  RequestChanges = "requestChanges",
  Changes = "changes",
  RunKey = "runKey",
  KeyResult = "keyResult",
}

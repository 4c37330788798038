/** Errors of the internal protocol. */

import { ProductError } from "@rattanvane/base";

/** The cause of a failure on a connection between two routers. */
export enum ProtocolErrorKind {
  FrameTooLarge = "frameTooLarge",
  BadFrame = "badFrame",
  BadMessage = "badMessage",
  WrongVersion = "wrongVersion",
  WrongKey = "wrongKey",
  HandshakeTimedOut = "handshakeTimedOut",
  Closed = "closed",
}

const REMEDIES: Record<ProtocolErrorKind, string> = {
  [ProtocolErrorKind.FrameTooLarge]: "send the message in parts",
  [ProtocolErrorKind.BadFrame]:
    "check that the port is a router's control port",
  [ProtocolErrorKind.BadMessage]: "run the same release on all VMs",
  [ProtocolErrorKind.WrongVersion]: "run the same release on all VMs",
  [ProtocolErrorKind.WrongKey]: "check fleetKeys in the settings of both VMs",
  [ProtocolErrorKind.HandshakeTimedOut]:
    "check that the port is a router's control port",
  [ProtocolErrorKind.Closed]: "wait for the next connection",
};

/** A failure on a connection between two routers. */
export class ProtocolError extends ProductError<ProtocolErrorKind> {
  constructor(kind: ProtocolErrorKind, problem: string, cause?: unknown) {
    super({ kind, problem, remedy: REMEDIES[kind], cause });
  }
}

/** The changes that make up the configuration log. */

import type { Endpoint, Organisation, Service, Zone } from "./model.ts";

/** The kinds of operations in a change. */
export enum OperationKind {
  PutOrganisation = "putOrganisation",
  RemoveOrganisation = "removeOrganisation",
  PutService = "putService",
  RemoveService = "removeService",
  PutZone = "putZone",
  RemoveZone = "removeZone",
  PutEndpoint = "putEndpoint",
  RemoveEndpoint = "removeEndpoint",
}

/** One operation of a change. */
export type Operation =
  | { kind: OperationKind.PutOrganisation; organisation: Organisation }
  | { kind: OperationKind.RemoveOrganisation; name: string }
  | { kind: OperationKind.PutService; service: Service }
  | { kind: OperationKind.RemoveService; name: string }
  | { kind: OperationKind.PutZone; zone: Zone }
  | { kind: OperationKind.RemoveZone; name: string }
  | { kind: OperationKind.PutEndpoint; endpoint: Endpoint }
  | { kind: OperationKind.RemoveEndpoint; name: string };

/** An accepted change; its operations are applied atomically. */
export interface Change {
  /** The position in the log; the first change has version 1. */
  version: number;
  /** A unique id, by which a writer that lost the response finds its own row. */
  id: string;
  author: string;
  /** Milliseconds since the Unix epoch. */
  acceptedAt: number;
  operations: Operation[];
}

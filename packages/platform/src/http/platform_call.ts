/** The request and response types of calls to the platform. */

import type { Dispatcher } from "undici";

/** Determines whether a call may be retried when its outcome is unknown. */
export enum PlatformCallKind {
  Read = "read",
  Write = "write",
}

/** A request to the platform. */
export interface PlatformCall {
  kind: PlatformCallKind;
  method: Dispatcher.HttpMethod;
  path: string;
  body?: string | Uint8Array;
}

/** A complete response of the platform. */
export interface PlatformAnswer {
  status: number;
  body: Uint8Array;
  headers: PlatformHeaders;
}

/** The headers of an answer, by their names in lower case. */
export type PlatformHeaders = Readonly<
  Record<string, string | string[] | undefined>
>;

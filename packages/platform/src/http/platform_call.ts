/** One call to the platform and its answer. */

import type { Dispatcher } from "undici";

/** Whether a call may be sent again when its outcome is unknown. */
export enum PlatformCallKind {
  Read = "read",
  Write = "write",
}

/** A call to the platform. */
export interface PlatformCall {
  kind: PlatformCallKind;
  method: Dispatcher.HttpMethod;
  path: string;
  body?: string | Uint8Array;
}

/** A whole answer of the platform. */
export interface PlatformAnswer {
  status: number;
  body: Uint8Array;
}

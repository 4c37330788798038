/** Refusals of requests. */

/** Why a request is not sent. */
export enum RefusalKind {
  /** No endpoint of the service accepts requests. */
  NoEndpoint = "noEndpoint",
  /** The request is not expected to be served in time. */
  Overload = "overload",
  /** The organisation is over its fair share, with no spare capacity left. */
  OverShare = "overShare",
  /** The request was running when several endpoints crashed. */
  Quarantined = "quarantined",
  /** This VM is expected to have ended before the request has. */
  ShuttingDown = "shuttingDown",
  /** The deadline of the request passed while it waited. */
  Expired = "expired",
  /** The caller disconnected. */
  Abandoned = "abandoned",
}

/** A refused request, and when its caller should retry. */
export interface Refusal {
  kind: RefusalKind;
  retryAfterMilliseconds: number;
  waitedMilliseconds: number;
  /** Why no endpoint accepted the request; undefined if it was not queued. */
  cause?: RefusalCause;
}

/** What a scheduler knew when it refused a request. */
export interface RefusalCause {
  /** The organisation's use of its fair share. */
  usage: string;
  /**
   * The limits that the usable endpoints were at, with their numbers; undefined
   * shortly after another refusal was described.
   */
  limits?: string;
}

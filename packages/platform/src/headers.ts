/** Names of the HTTP headers exchanged with endpoints and callers. */

/** Header names, in lower case. */
export enum HeaderName {
  /** Sent to an endpoint, which must return it in its response. */
  AttemptId = "x-attempt-id",
  /** Changes each time an endpoint starts. */
  BootId = "x-boot-id",
  /** Sent to the caller with every response. */
  RequestId = "x-request-id",
  /** `not_run` or `unknown`; sent with rejections and failures. */
  Outcome = "x-outcome",
  IdempotencyKey = "idempotency-key",
  /** The caller's rough estimate of the cost, in tokens. */
  CostHint = "x-cost-hint",
  /** The longest time that the caller waits, in milliseconds. */
  DeadlineMilliseconds = "x-deadline-ms",
  /** Identifies a stream that the caller can resume on any VM. */
  StreamId = "x-stream-id",
  LastEventId = "last-event-id",
}

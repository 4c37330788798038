/** Names of the HTTP headers that endpoints and callers exchange with us. */

/** Header names, in lower case. */
export enum HeaderName {
  /** Sent to an endpoint and expected back in its answer. */
  AttemptId = "x-attempt-id",
  /** Changes with each start of an endpoint. */
  BootId = "x-boot-id",
  /** Given to the caller with every answer. */
  RequestId = "x-request-id",
  /** `not_run` or `unknown`, on refusals and failures. */
  Outcome = "x-outcome",
  IdempotencyKey = "idempotency-key",
  /** The caller's rough idea of the cost, in tokens. */
  CostHint = "x-cost-hint",
  /** The longest time the caller waits, in milliseconds. */
  DeadlineMilliseconds = "x-deadline-ms",
  /** Names a stream that a caller wants to resume at any VM. */
  StreamId = "x-stream-id",
  LastEventId = "last-event-id",
}

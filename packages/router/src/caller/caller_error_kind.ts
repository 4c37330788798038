/** The kinds of errors that callers see. */

/** Whether a request that failed may have run. */
export enum CallOutcome {
  /** No attempt of the request left for an endpoint. */
  NotRun = "not_run",
  /** The request may have run. */
  Unknown = "unknown",
}

/** What a caller can be told when there is no answer. */
export enum CallerErrorKind {
  MissingKey = "missing_key",
  WrongKey = "wrong_key",
  NotFound = "not_found",
  MethodNotAllowed = "method_not_allowed",
  UnknownService = "unknown_service",
  ServiceNotAllowed = "service_not_allowed",
  BodyTooLong = "body_too_long",
  BodyTooSlow = "body_too_slow",
  MalformedBody = "malformed_body",
  MalformedHeader = "malformed_header",
  MalformedRequest = "malformed_request",
  HeadersTooLong = "headers_too_long",
  HeadersTooSlow = "headers_too_slow",
  IdempotencyKeyMissing = "idempotency_key_missing",
  IdempotencyKeyRefused = "idempotency_key_refused",
  QueueFull = "queue_full",
  WaitedTooLong = "waited_too_long",
  Quarantined = "quarantined",
  NoEndpoint = "no_endpoint",
  EndpointFailed = "endpoint_failed",
  AnswerTooLong = "answer_too_long",
  StreamGone = "stream_gone",
  CallNotRun = "call_not_run",
  CallUnknown = "call_unknown",
  NotReady = "not_ready",
  Internal = "internal",
}

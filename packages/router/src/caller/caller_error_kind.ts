/** The kinds of errors that are returned to callers. */

/** Whether a failed request may have been executed. */
export enum CallOutcome {
  /** No attempt of the request was sent to an endpoint. */
  NotRun = "not_run",
  /** The request may have been executed. */
  Unknown = "unknown",
}

/** Kinds of errors, as sent in the `kind` field of an error response. */
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

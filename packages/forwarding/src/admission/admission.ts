/** Contract for admitting requests to endpoints. */

import type { EndpointId, EndpointReport, ZoneId } from "@rattanvane/protocol";
import { OutcomeKind } from "../model/attempt_outcome.ts";
import type { SchedulableCall } from "../model/call.ts";
import type { Refusal } from "../scheduling/refusal.ts";

/** A request that needs an endpoint. */
export interface AdmissionRequest {
  call: SchedulableCall;
  /** Ids of endpoints that failed the request before. */
  avoid: ReadonlySet<EndpointId>;
  /** Ids of endpoints that must not get requests of this VM. */
  excluded: ReadonlySet<EndpointId>;
  /** Whether the request was submitted before and is counted already. */
  isRepeated: boolean;
  /**
   * Whether the attempt runs beside another one of the same request. It is
   * granted at once or refused.
   */
  isHedge?: boolean;
}

/** The endpoint that a request may be sent to. */
export interface GrantedEndpoint {
  id: EndpointId;
  zone: ZoneId;
  host: string;
  port: number;
}

/** What was known of the endpoint when it was granted; only logged. */
export interface GrantForecast {
  /** The predicted time to the first event. */
  predictedMilliseconds: number;
  /** The time for which the request was queued. */
  waitedMilliseconds: number;
  /** Prompt tokens of the request that the endpoint has to process. */
  ownTokens: number;
  /** Prompt tokens of other requests that it processes before them. */
  aheadTokens: number;
  missingTokens: number;
  isLong: boolean;
  /** Attempts that were running at the endpoint. */
  running: number;
  /**
   * The time after which an attempt without a first byte is slow; unset while it
   * is not known, or slow attempts are not hedged.
   */
  slowMilliseconds?: number;
}

/** What the sender of an attempt observed of it. */
export interface AttemptReport {
  kind: OutcomeKind;
  /** Whether the endpoint refused the connection. */
  isConnectionRefused: boolean;
  /** The time to the first byte of the response; undefined without one. */
  firstMilliseconds: number | undefined;
  /** The longest interval between two events of a stream. */
  longestPauseMilliseconds: number;
  /** What the endpoint reported of itself, unless the answer's start told it. */
  report?: EndpointReport;
}

/** The report of a grant that was not used. */
export const UNUSED_REPORT: AttemptReport = {
  kind: OutcomeKind.Stopped,
  isConnectionRefused: false,
  firstMilliseconds: undefined,
  longestPauseMilliseconds: 0,
};

/** Permission to send one attempt. Ends with its report. */
export abstract class AttemptGrant {
  abstract readonly endpoint: GrantedEndpoint;
  abstract readonly forecast: GrantForecast;

  /**
   * Records that the first byte or event of the response has arrived, and what
   * the endpoint reported of itself.
   */
  abstract recordAnswerStart(report?: EndpointReport): void;

  /** Records the end of the attempt and releases its capacity; call it once. */
  abstract recordEnd(report: AttemptReport): void;
}

/** The result of a request for an endpoint. */
export type AdmissionResult =
  | { grant: AttemptGrant; refusal?: never }
  | { grant?: never; refusal: Refusal };

/** Queues requests until they are granted an endpoint or refused. */
export abstract class Admission {
  /** Queues a request; an abort of the signal withdraws it. */
  abstract submit(
    request: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<AdmissionResult>;
}

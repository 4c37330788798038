/** Decides on refused callers that return, and refuses what would be late. */

import type { Clock } from "@rattanvane/base";
import type { SchedulableCall } from "../model/call.ts";
import type { KeptPlaces } from "./kept_places.ts";
import { QueueForecast } from "./queue_forecast.ts";
import { type ShareMeter, ShareUsage } from "./share_meter.ts";
import type { WaitingEntry } from "./waiting_queue.ts";

/** Callers wait for no longer than this fraction of the time they have left. */
const MAX_RETURN_FRACTION = 1 / 3;
/** The fraction of the objective that an endpoint needs for a response. */
const RESPONSE_FRACTION = 0.3;
/** The fraction of the objective that a request may wait for an endpoint. */
const MAX_WAIT_FRACTION = 0.6;
/** The same for spare capacity, and for what is kept for a returning caller. */
const MAX_SPARE_CAPACITY_WAIT_FRACTION = 0.12;
const MAX_RETURN_WAIT_FRACTION = 0.35;
/** The fraction of its total time that a request may wait in any case. */
const MAX_TOTAL_WAIT_FRACTION = 0.08;
/** The same for a long prompt, which only a few engines accept. */
const MAX_LONG_PROMPT_WAIT_FRACTION = 0.2;
/** Fewer requests than this say little about the wait behind them. */
const MIN_REQUESTS_AHEAD = 4;
/**
 * A request that is owed an endpoint is refused only if it is expected to wait
 * for this many times as long as it may, since some of those ahead give up.
 */
const OWED_FORECAST_MARGIN = 2;

/** A request that has just been queued, and those that are served before it. */
export interface QueuePosition {
  call: SchedulableCall;
  ahead: readonly SchedulableCall[];
  /** Whether only the endpoints for long prompts accept it. */
  isLong: boolean;
  isOverShare: boolean;
}

/** When a refused caller may return, in milliseconds from now. */
export interface ReturnTimes {
  /** The earliest time of a place. */
  earliestMilliseconds: number;
  /** When to retry without a place that is in time. */
  otherwiseMilliseconds: number;
}

/** Dependencies of a {@link ReturnPolicy}. */
export interface ReturnPolicyOptions {
  clock: Clock;
  shares: ShareMeter;
  places: KeptPlaces;
}

/** The part of a service's scheduler that deals with returning callers. */
export class ReturnPolicy {
  readonly #options: ReturnPolicyOptions;
  readonly #forecast: QueueForecast;

  constructor(options: ReturnPolicyOptions) {
    this.#options = options;
    this.#forecast = new QueueForecast(options.clock);
  }

  /** Records that a request was sent to an endpoint. */
  recordGrant(call: SchedulableCall, isLong: boolean): void {
    this.#forecast.recordGrant(call, isLong);
  }

  /**
   * Whether a request would be refused at the end of its wait, as far as can be
   * said from the requests before it. While none is sent to endpoints, nothing
   * is said of requests that are owed one. Load: more is asked for than served.
   */
  isRefusalExpected(position: QueuePosition): boolean {
    const { call, ahead, isLong, isOverShare } = position;
    if (ahead.length < MIN_REQUESTS_AHEAD) {
      return false;
    }
    const wait = this.#forecast.predictWait([...ahead, call], isLong);
    const margin = isOverShare ? 1 : OWED_FORECAST_MARGIN;
    return wait === undefined
      ? isOverShare
      : wait > computeMaxWait(position) * margin;
  }

  /**
   * Whether a request has waited for as long as it may. Load: requests that
   * others have passed since, or that nothing could be predicted for.
   */
  isRefusalDue(entry: WaitingEntry<unknown>, isOverShare: boolean): boolean {
    const { call, queuedAt, isLong, isReturn } = entry;
    const waited = this.#options.clock.now() - queuedAt;
    return waited >= computeMaxWait({
      call,
      isLong: isLong ?? false,
      isOverShare,
      isReturn: isReturn ?? false,
    });
  }

  /**
   * The usage by which endpoints are chosen for a request: a returning caller
   * of an organisation that is far over its share may use all spare capacity.
   */
  computeUsage(
    usage: ShareUsage,
    { isReturn }: Pick<WaitingEntry<unknown>, "isReturn">,
  ): ShareUsage {
    return isReturn === true ? Math.min(usage, ShareUsage.Over) : usage;
  }

  /**
   * Keeps a place for a refused request and returns when its caller should
   * return, in milliseconds from now.
   */
  computeRetryAfter(
    { call, startDeadlineAt }: WaitingEntry<unknown>,
    { earliestMilliseconds, otherwiseMilliseconds }: ReturnTimes,
  ): number {
    const { clock, shares, places } = this.#options;
    const now = clock.now();
    const maxMilliseconds = (call.deadlineAt - now) * MAX_RETURN_FRACTION;
    const inTimeMilliseconds = startDeadlineAt - now -
      call.route.objectiveMilliseconds * RESPONSE_FRACTION;
    const costPerSecond = call.organisation === undefined
      ? 0
      : shares.computeLocalRate(call.organisation);
    const placeMilliseconds = places.keep(call, {
      earliestMilliseconds,
      latestMilliseconds: Math.min(maxMilliseconds, inTimeMilliseconds),
      costPerSecond,
    });
    return placeMilliseconds ??
      Math.min(otherwiseMilliseconds, maxMilliseconds);
  }
}

/** Computes how long a request may wait, in milliseconds. */
function computeMaxWait(
  { call, isLong, isOverShare, isReturn }: {
    call: SchedulableCall;
    isLong: boolean;
    isOverShare: boolean;
    isReturn?: boolean;
  },
): number {
  const { objectiveMilliseconds } = call.route;
  if (isOverShare) {
    return objectiveMilliseconds *
      (isReturn === true
        ? MAX_RETURN_WAIT_FRACTION
        : MAX_SPARE_CAPACITY_WAIT_FRACTION);
  }
  const totalMilliseconds = call.deadlineAt - call.receivedAt;
  return Math.max(
    objectiveMilliseconds * MAX_WAIT_FRACTION,
    totalMilliseconds *
      (isLong ? MAX_LONG_PROMPT_WAIT_FRACTION : MAX_TOTAL_WAIT_FRACTION),
  );
}

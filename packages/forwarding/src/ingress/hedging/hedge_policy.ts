/** Decides whether a slow request gets a second attempt. */

import type { Clock } from "@rattanvane/base";
import type { ForwardedCall } from "../../model/call.ts";
import { Repeatability } from "../../model/route.ts";
import type { RetryAllowance } from "../../scheduling/retry_allowance.ts";
import { SlidingSum } from "../../scheduling/sliding_window.ts";
import type { HedgingSettings } from "./hedging_settings.ts";

/** Over which the share is kept; a VM may get few requests a second. */
const WINDOW_MILLISECONDS = 60_000;
/** The part of the retries that hedged attempts leave to failed requests. */
const RETRY_FRACTION = 0.5;
/** With less time left, a second attempt is not expected to be in time. */
const MIN_REMAINING_MILLISECONDS = 50;

/** Why a slow request gets no second attempt. */
export enum HedgeObstacle {
  /** The first attempt has begun to answer. */
  Answering = "answering",
  /** Another attempt is not allowed by the route. */
  Attempts = "attempts",
  Deadline = "deadline",
  /** The share of hedged requests is used up. */
  Share = "share",
  /** The retries that hedged attempts may use are used up. */
  Retries = "retries",
  /** This VM is saturated or shuts down. */
  Busy = "busy",
  /** No endpoint has room at once. */
  NoRoom = "noRoom",
}

/** What became of a second attempt, or of the decision to make one. */
export enum HedgeResult {
  Sent = "sent",
  /** It answered the caller in place of the first one. */
  Won = "won",
  /** The first one answered while it ran. */
  Cancelled = "cancelled",
}

/** What is known of a request when its first attempt has become slow. */
export interface SlowRequest {
  call: ForwardedCall;
  /** Whether the first attempt has begun to answer. */
  isAnswering: boolean;
  /** Attempts that may have run, the first one included. */
  runs: number;
  retries: RetryAllowance;
  /** The number of VMs that share the fleet's retries. */
  vms: number;
}

/** Dependencies of a {@link HedgePolicy}. */
export interface HedgePolicyOptions {
  clock: Clock;
  settings: HedgingSettings;
  /** Whether this VM has work for itself only, or is to end soon. */
  isBusy: (call: ForwardedCall) => boolean;
}

/**
 * Gives a second attempt to requests that may be repeated and whose first one
 * takes longer than a quantile of its kind. Each VM hedges a share of its own
 * requests, so that the VMs together hedge no larger share of all requests.
 *
 * Load: a few slow or stalled endpoints among many with room. When requests wait
 * for endpoints, the schedulers grant no second attempts.
 */
export class HedgePolicy {
  readonly #options: HedgePolicyOptions;
  readonly #requests: SlidingSum;
  readonly #hedges: SlidingSum;

  constructor(options: HedgePolicyOptions) {
    this.#options = options;
    this.#requests = new SlidingSum(options.clock, WINDOW_MILLISECONDS);
    this.#hedges = new SlidingSum(options.clock, WINDOW_MILLISECONDS);
  }

  /** Records a caller's request, of which a share may be hedged. */
  recordRequest(): void {
    this.#requests.add(1);
  }

  /** Whether a call's request may get a second attempt at all. */
  mayHedge({ route }: ForwardedCall): boolean {
    const isRepeatable = route.repeatability === Repeatability.Idempotent ||
      route.repeatability === Repeatability.ResumableStream;
    return isRepeatable && route.attempts > 1;
  }

  /** Why a slow request gets no second attempt; undefined if it may. */
  findObstacle(request: SlowRequest): HedgeObstacle | undefined {
    const { call, isAnswering, runs, retries, vms } = request;
    const { clock, isBusy } = this.#options;
    if (isAnswering) {
      return HedgeObstacle.Answering;
    }
    if (runs >= call.route.attempts) {
      return HedgeObstacle.Attempts;
    }
    if (call.deadlineAt - clock.now() < MIN_REMAINING_MILLISECONDS) {
      return HedgeObstacle.Deadline;
    }
    if (isBusy(call)) {
      return HedgeObstacle.Busy;
    }
    if (!this.#hasShare()) {
      return HedgeObstacle.Share;
    }
    return retries.hasCapacity(vms, RETRY_FRACTION)
      ? undefined
      : HedgeObstacle.Retries;
  }

  /** Counts a second attempt that is sent now, if nothing opposes it still. */
  take(request: SlowRequest): HedgeObstacle | undefined {
    const obstacle = this.findObstacle(request);
    if (obstacle === undefined) {
      request.retries.take(request.vms);
      this.#hedges.add(1);
    }
    return obstacle;
  }

  #hasShare(): boolean {
    const { share } = this.#options.settings;
    return this.#hedges.sum + 1 <= share * this.#requests.sum;
  }
}

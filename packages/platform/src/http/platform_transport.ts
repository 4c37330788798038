/** Calls to the platform: deadlines, budgets and safe retries. */

import {
  type BackoffOptions,
  type Clock,
  computeBackoff,
  type RandomSource,
} from "@rattanvane/base";
import { err, ok, type Result } from "neverthrow";
import type { PlatformError, PlatformErrorKind } from "../platform_error.ts";
import { addAbortListener } from "./abort_listener.ts";
import { parseBaseUrl } from "./base_url.ts";
import { readBody } from "./body_reader.ts";
import { CallTimer } from "./call_timer.ts";
import { type CheckedPool, createCheckedPool } from "./checked_pool.ts";
import { createConnector } from "./connector.ts";
import type { PlatformBudget } from "./platform_budget.ts";
import {
  createBudgetError,
  type FailedTry,
  judgeAnswer,
  judgeFailure,
} from "./platform_failures.ts";
import {
  type PlatformAnswer,
  type PlatformCall,
  PlatformCallKind,
} from "./platform_call.ts";

const DEFAULT_DEADLINE_MILLISECONDS = 2_000;
const DEFAULT_CONNECT_TIMEOUT_MILLISECONDS = 500;
const DEFAULT_BODY_LIMIT_BYTES = 64 * 1024 * 1024;
const DEFAULT_CONNECTIONS = 16;
const DEFAULT_BACKOFF: BackoffOptions = {
  initialMilliseconds: 50,
  maximumMilliseconds: 1_000,
};

/** Settings of the way to the platform. */
export interface PlatformTransportOptions {
  /** The platform's base URL, without a trailing slash. */
  url: string;
  clock: Clock;
  random: RandomSource;
  budget: PlatformBudget;
  /** The longest time of a call with all its retries. */
  deadlineMilliseconds?: number;
  connectTimeoutMilliseconds?: number;
  /** Whether connections are kept for later calls, which is the default. */
  keepsConnections?: boolean;
  /** The own IP number to connect from; the system chooses without it. */
  localAddress?: string;
  bodyLimitBytes?: number;
  backoff?: BackoffOptions;
  /** Called with the kind of each call that failed with its retries. */
  countFailure?: (kind: PlatformErrorKind) => void;
}

/** The way to the platform that all clients of one VM share. */
export class PlatformTransport {
  readonly #options: Required<PlatformTransportOptions>;
  readonly #pool: CheckedPool;
  readonly #pathPrefix: string;

  constructor(options: PlatformTransportOptions, signal: AbortSignal) {
    this.#options = {
      deadlineMilliseconds: DEFAULT_DEADLINE_MILLISECONDS,
      connectTimeoutMilliseconds: DEFAULT_CONNECT_TIMEOUT_MILLISECONDS,
      bodyLimitBytes: DEFAULT_BODY_LIMIT_BYTES,
      keepsConnections: true,
      localAddress: "",
      backoff: DEFAULT_BACKOFF,
      countFailure: () => {},
      ...options,
    };
    const { origin, pathPrefix } = parseBaseUrl(options.url);
    this.#pathPrefix = pathPrefix;
    this.#pool = createCheckedPool(origin, {
      signal,
      connections: DEFAULT_CONNECTIONS,
      connect: createConnector(this.#options),
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    addAbortListener(signal, () => void this.#pool.pool.destroy());
  }

  /**
   * Runs a call until it is answered, it cannot be retried, or its deadline
   * has passed. A write is sent again only when it is known not to be done.
   */
  async run(
    call: PlatformCall,
    signal: AbortSignal,
  ): Promise<Result<PlatformAnswer, PlatformError>> {
    const timer = new CallTimer(this.#options.clock, signal);
    timer.startLimit(this.#options.deadlineMilliseconds);
    try {
      const answer = await this.#runWithRetries(call, timer);
      if (answer.isErr() && !signal.aborted) {
        this.#options.countFailure(answer.error.kind);
      }
      return answer;
    } finally {
      timer.stop();
    }
  }

  async #runWithRetries(
    call: PlatformCall,
    timer: CallTimer,
  ): Promise<Result<PlatformAnswer, PlatformError>> {
    const { clock } = this.#options;
    const endsAt = clock.now() + this.#options.deadlineMilliseconds;
    let lastError: PlatformError | undefined;
    for (let attempt = 0;; attempt++) {
      const withinBudget = await this.#waitForBudget(call, {
        longestWaitMilliseconds: endsAt - clock.now(),
        signal: timer.signal,
      });
      if (!withinBudget) {
        // What the last try met tells more than that there was no time left.
        return err(lastError ?? createBudgetError(call, timer));
      }
      const tried = await this.#runOnce(call, timer);
      if (tried.isOk()) {
        return ok(tried.value);
      }
      lastError = tried.error.error;
      const delay = this.#computeDelay(tried.error, attempt);
      if (!tried.error.retry || clock.now() + delay >= endsAt) {
        return err(tried.error.error);
      }
      await clock.sleep(delay, timer.signal);
      if (timer.signal.aborted) {
        return err(tried.error.error);
      }
    }
  }

  #computeDelay(failed: FailedTry, attempt: number): number {
    const backoff = computeBackoff(attempt, {
      ...this.#options.backoff,
      random: this.#options.random,
    });
    return failed.retryAfterMilliseconds + backoff;
  }

  async #waitForBudget(
    call: PlatformCall,
    options: { longestWaitMilliseconds: number; signal: AbortSignal },
  ): Promise<boolean> {
    const { budget, clock } = this.#options;
    const bucket = call.kind === PlatformCallKind.Read
      ? budget.reads
      : budget.writes;
    const wait = bucket.reserve(options.longestWaitMilliseconds);
    if (wait === undefined) {
      return false;
    }
    if (wait > 0) {
      await clock.sleep(wait, options.signal);
    }
    return !options.signal.aborted;
  }

  async #runOnce(
    call: PlatformCall,
    timer: CallTimer,
  ): Promise<Result<PlatformAnswer, FailedTry>> {
    try {
      const response = await this.#pool.dispatcher.request({
        method: call.method,
        path: this.#pathPrefix + call.path,
        body: call.body ?? null,
        reset: !this.#options.keepsConnections,
        signal: timer.signal,
      });
      const body = await readBody(response.body, this.#options.bodyLimitBytes);
      const retryAfter = String(response.headers["retry-after"] ?? "");
      return judgeAnswer(call, {
        answer: {
          status: response.statusCode,
          body,
          headers: response.headers,
        },
        retryAfter,
      });
    } catch (thrown) {
      return err(judgeFailure(call, { thrown, timer }));
    }
  }
}

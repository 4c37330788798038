/** Measures how a VM's event loop keeps up with its callers' connections. */

import type { Socket } from "node:net";
import { type EventLoopUtilization, performance } from "node:perf_hooks";
import type { Clock, Logger } from "@rattanvane/base";

const REPORT_INTERVAL_MILLISECONDS = 1_000;
/** An event loop that is idle for longer than this keeps up with its callers. */
const MIN_REPORTED_UTILIZATION = 0.8;
const PERCENT = 100;
/** Of the refused connections, every one of this many has its address read. */
const REFUSALS_PER_ADDRESS = 16;
/** More lines of rejected requests in a second are counted only. */
const MAX_REJECTION_LINES = 20;

/** What the event loop did in a while. */
interface LoadCounts {
  accepted: number;
  /** Connections that ended before a request was read from them. */
  leftUnread: number;
  /** Connections that were closed unread, since too many were open. */
  dropped: number;
  /** Connections that were refused, since others had waited for too long. */
  refused: number;
  /** Connections that were passed on to another VM for the same reason. */
  relayed: number;
  /** How often as many connections as may wait were accepted in a row. */
  fullQueues: number;
  /** Requests that were the first of their connection. */
  firstRequests: number;
  laterRequests: number;
  /** Requests whose callers left before they were begun. */
  leftWaiting: number;
}

/** Dependencies of an {@link IngressLoad}. */
export interface IngressLoadOptions {
  clock: Clock;
  logger: Logger;
  countConnection: (event: ConnectionEvent) => void;
  countWaiting: () => number;
  /** The limit on requests in progress; infinite for none. */
  readLimit?: () => number;
}

/** What happened to a caller's connection. */
export enum ConnectionEvent {
  Accepted = "accepted",
  /** It ended before a request was read from it. */
  LeftUnread = "leftUnread",
  /** It was closed unread, since too many were open. */
  Dropped = "dropped",
  /** Its request was refused unread, since connections waited for too long. */
  Refused = "refused",
  /** It was passed on to another VM, since connections waited for too long. */
  Relayed = "relayed",
  /** It was the last of as many in a row as may wait; others may be lost. */
  QueueFull = "queueFull",
}

/**
 * Counts connections and requests, and logs the counts each second in which the
 * event loop is hardly idle. Connections of callers that have left, among those
 * accepted, show that connections wait longer than callers do.
 */
export class IngressLoad {
  readonly #options: IngressLoadOptions;
  readonly #requests = new WeakMap<Socket, number>();
  /** Addresses of refused callers, of a part of the connections. */
  readonly #refusedAddresses = new Set<string>();
  #counts = createCounts();
  #rejections = 0;
  #open = 0;
  #utilization: EventLoopUtilization = performance.eventLoopUtilization();
  #turns = readTurns();

  constructor(options: IngressLoadOptions) {
    this.#options = options;
  }

  /** The number of connections that are open. */
  get openConnections(): number {
    return this.#open;
  }

  /** Counts a connection that was accepted. */
  recordConnection(socket: Socket): void {
    const { countConnection } = this.#options;
    this.#counts.accepted++;
    this.#open++;
    countConnection(ConnectionEvent.Accepted);
    socket.once("close", () => {
      this.#open--;
      if (!this.#requests.has(socket)) {
        this.#counts.leftUnread++;
        countConnection(ConnectionEvent.LeftUnread);
      }
    });
  }

  /** Counts a connection that was closed unread. */
  recordDrop(): void {
    this.#counts.dropped++;
    this.#options.countConnection(ConnectionEvent.Dropped);
  }

  /**
   * Counts an accept queue that was emptied and may have been full. The kernel
   * tells nobody of the connections that it discards then.
   */
  recordFullQueue(): void {
    this.#counts.fullQueues++;
    this.#options.countConnection(ConnectionEvent.QueueFull);
  }

  /** Counts a connection that is refused without reading its request. */
  recordRefusal(socket: Socket): void {
    this.#requests.set(socket, 0);
    this.#counts.refused++;
    if (this.#counts.refused % REFUSALS_PER_ADDRESS === 1) {
      this.#refusedAddresses.add(socket.remoteAddress ?? "");
    }
    this.#options.countConnection(ConnectionEvent.Refused);
  }

  /** Counts a connection that is passed on to another VM. */
  recordRelay(socket: Socket): void {
    this.#requests.set(socket, 0);
    this.#counts.relayed++;
    this.#options.countConnection(ConnectionEvent.Relayed);
  }

  /** Counts a request whose head was read. */
  recordRequest(socket: Socket): void {
    const earlier = this.#requests.get(socket) ?? 0;
    this.#requests.set(socket, earlier + 1);
    if (earlier === 0) {
      this.#counts.firstRequests++;
    } else {
      this.#counts.laterRequests++;
    }
  }

  /** Counts a request whose caller left before it was begun. */
  recordLeftWaiting(): void {
    this.#counts.leftWaiting++;
  }

  /** Counts a rejected request; whether it may have a line of the log. */
  mayLogRejection(): boolean {
    this.#rejections++;
    return this.#rejections <= MAX_REJECTION_LINES;
  }

  /** Logs the load each second until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      await clock.sleep(REPORT_INTERVAL_MILLISECONDS, signal);
      this.#report();
    }
  }

  #report(): void {
    const utilization = performance.eventLoopUtilization();
    const { active, idle } = performance.eventLoopUtilization(
      utilization,
      this.#utilization,
    );
    const turns = readTurns();
    const fraction = active / Math.max(1, active + idle);
    const isBusy = fraction >= MIN_REPORTED_UTILIZATION;
    if (isBusy || this.#counts.fullQueues > 0) {
      this.#options.logger.info(
        isBusy ? "the event loop is busy" : "the accept queue was full",
        {
          ...this.#counts,
          refusedAddresses: this.#refusedAddresses.size,
          open: this.#open,
          waiting: this.#options.countWaiting(),
          ...this.#describeLimit(),
          utilizationPercent: Math.round(fraction * PERCENT),
          activeMilliseconds: Math.round(active),
          turns: turns - this.#turns,
        },
      );
    }
    this.#reportRejections();
    this.#counts = createCounts();
    this.#refusedAddresses.clear();
    this.#utilization = utilization;
    this.#turns = turns;
  }

  #describeLimit(): { limit?: number } {
    const limit = this.#options.readLimit?.() ?? Infinity;
    return limit === Infinity ? {} : { limit: Math.floor(limit) };
  }

  #reportRejections(): void {
    const omitted = this.#rejections - MAX_REJECTION_LINES;
    this.#rejections = 0;
    if (omitted > 0) {
      this.#options.logger.info("lines of rejected requests were left out", {
        omitted,
      });
    }
  }
}

function createCounts(): LoadCounts {
  return {
    accepted: 0,
    leftUnread: 0,
    dropped: 0,
    refused: 0,
    relayed: 0,
    fullQueues: 0,
    firstRequests: 0,
    laterRequests: 0,
    leftWaiting: 0,
  };
}

/** Reads the number of turns of the event loop; 0 where Node.js has none. */
function readTurns(): number {
  const { nodeTiming } = performance as unknown as {
    nodeTiming: { uvMetricsInfo?: { loopCount: number } };
  };
  return nodeTiming.uvMetricsInfo?.loopCount ?? 0;
}

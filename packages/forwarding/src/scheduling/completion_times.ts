/** Learns how fast the endpoints of a service without model engines are. */

import type { EndpointState } from "./endpoint_state.ts";

const SMOOTHING_FACTOR = 0.02;

/** The state of an endpoint when a request was sent to it. */
export interface SendState {
  /** The reported slowdown; 1 if the endpoint reports none. */
  slowdown: number;
  /** The expected wait for a slot, as a multiple of the time of a request. */
  queueFactor: number;
}

/** Builds the state of an endpoint at which a request has just been counted. */
export function buildSendState(
  { record, running, speed }: EndpointState,
): SendState {
  const queueFactor = computeQueueFactor(running, record.slots);
  return { slowdown: speed.slowdown, queueFactor };
}

/** Computes the mean slowdown between a request and its answer. */
export function computeSlowdown(
  { speed }: EndpointState,
  sent: SendState,
): number {
  return (sent.slowdown + speed.slowdown) / 2;
}

/**
 * The usual time of a request at an endpoint of ordinary speed, with no other
 * request before it. Requests of several routes differ, so that only the average
 * over many says how fast an endpoint is.
 */
export class CompletionTimes {
  #usualMilliseconds: number | undefined;

  /**
   * Records the time that a request took, in milliseconds, without the reported
   * slowdown and the wait for a slot. Updates the pace of its endpoint.
   */
  record(endpoint: EndpointState, milliseconds: number): void {
    const own = Math.max(1, milliseconds);
    const usual = this.#usualMilliseconds ??= own;
    endpoint.recordPace(own / usual);
    const average = own / endpoint.usualPace;
    this.#usualMilliseconds = usual + SMOOTHING_FACTOR * (average - usual);
  }
}

/** Computes the wait at an endpoint with these requests, the new one included. */
export function computeQueueFactor(running: number, slots: number): number {
  return Math.max(1, running / Math.max(1, slots));
}

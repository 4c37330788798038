/** Remembers what schedulers elsewhere said that they have given. */

import {
  compareTerms,
  type OrganisationCounter,
  type OrganisationId,
  type Term,
} from "@rattanvane/protocol";

/** Totals of one sender. */
export interface RemoteReport {
  /** The sender's pool and VM, as one text. */
  sender: string;
  /** A sender that starts anew has a higher term and totals from 0. */
  term: Term;
  /** Counts the sender's messages in this term, from 1. */
  sequence: number;
  totals: readonly OrganisationCounter[];
}

/** Service that was not known of before. */
export interface ServiceDifference {
  organisation: OrganisationId;
  /** In cost units; negative after a correction. */
  service: number;
}

interface SenderState {
  term: Term;
  sequence: number;
  heardAt: number;
  /** Whether all of the sender's messages in this term could be known. */
  knownFromStart: boolean;
  totals: Map<OrganisationId, number>;
}

/**
 * Turns totals into differences. Totals make a repeat harmless and let the
 * next message make up for a lost one; old ones are dropped by sequence.
 */
export class RemoteTotals {
  readonly #senders = new Map<string, SenderState>();

  /** Takes a report in; returns nothing for a repeat or an old one. */
  merge(report: RemoteReport, now: number): ServiceDifference[] {
    const state = this.#findState(report);
    if (state === undefined) {
      return [];
    }
    state.sequence = report.sequence;
    state.heardAt = now;
    const differences: ServiceDifference[] = [];
    for (const total of report.totals) {
      const service = total.service - this.#findBaseline(state, total);
      state.totals.set(total.organisation, total.service);
      if (service !== 0) {
        differences.push({ organisation: total.organisation, service });
      }
    }
    return differences;
  }

  /** Forgets senders that were last heard of before a time. */
  removeSilent(since: number): void {
    for (const [sender, state] of this.#senders) {
      if (state.heardAt < since) {
        this.#senders.delete(sender);
      }
    }
  }

  #findState(report: RemoteReport): SenderState | undefined {
    const state = this.#senders.get(report.sender);
    const order = state === undefined
      ? 1
      : compareTerms(report.term, state.term);
    if (order < 0) {
      return undefined;
    }
    if (state !== undefined && order === 0) {
      return report.sequence > state.sequence ? state : undefined;
    }
    const fresh = {
      term: report.term,
      sequence: report.sequence,
      heardAt: 0,
      knownFromStart: state !== undefined || report.sequence === 1,
      totals: new Map<OrganisationId, number>(),
    };
    this.#senders.set(report.sender, fresh);
    return fresh;
  }

  /** A total whose past is unknown is where counting starts. */
  #findBaseline(state: SenderState, total: OrganisationCounter): number {
    const known = state.totals.get(total.organisation);
    return known ?? (state.knownFromStart ? 0 : total.service);
  }
}

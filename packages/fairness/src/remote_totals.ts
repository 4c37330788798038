/** Tracks the service totals that other schedulers report. */

import {
  compareTerms,
  type OrganisationCounter,
  type OrganisationId,
  type Term,
} from "@rattanvane/protocol";

/** A report of one sender's service totals. */
export interface RemoteReport {
  /** Identifies the sender by its pool and VM, as one string. */
  sender: string;
  /** A restarted sender has a higher term, and totals that start from 0. */
  term: Term;
  /** Number of the sender's message within this term, from 1. */
  sequence: number;
  totals: readonly OrganisationCounter[];
}

/** Service of an organisation that had not been reported before. */
export interface ServiceDifference {
  organisation: OrganisationId;
  /** In cost units; negative after a correction. */
  service: number;
}

interface SenderState {
  term: Term;
  sequence: number;
  lastReportAt: number;
  /** Whether the sender has been tracked since the start of its term. */
  hasFullHistory: boolean;
  totals: Map<OrganisationId, number>;
}

/**
 * Converts reported totals into differences. As each report carries totals, a
 * duplicate is harmless and the next report makes up for a lost one. Stale
 * reports are recognised by their sequence number and dropped.
 */
export class RemoteTotals {
  readonly #senders = new Map<string, SenderState>();

  /** Merges a report; returns no differences for a duplicate or stale one. */
  merge(report: RemoteReport, now: number): ServiceDifference[] {
    const state = this.#findState(report);
    if (state === undefined) {
      return [];
    }
    state.sequence = report.sequence;
    state.lastReportAt = now;
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

  /** Removes senders whose last report was merged before a clock time. */
  removeSilent(since: number): void {
    for (const [sender, state] of this.#senders) {
      if (state.lastReportAt < since) {
        this.#senders.delete(sender);
      }
    }
  }

  /**
   * Finds the state of a report's sender, or creates it for an unknown sender
   * or a new term; undefined for a duplicate or stale report.
   */
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
    const created = {
      term: report.term,
      sequence: report.sequence,
      lastReportAt: 0,
      hasFullHistory: state !== undefined || report.sequence === 1,
      totals: new Map<OrganisationId, number>(),
    };
    this.#senders.set(report.sender, created);
    return created;
  }

  /** Uses the first total itself as baseline when earlier ones are unknown. */
  #findBaseline(state: SenderState, total: OrganisationCounter): number {
    const known = state.totals.get(total.organisation);
    return known ?? (state.hasFullHistory ? 0 : total.service);
  }
}

/** Decides which versions of a service's endpoints this VM's requests may reach. */

import type { Clock } from "@rattanvane/base";
import type {
  RolloutGrant,
  RolloutReport,
  ServiceId,
} from "@rattanvane/protocol";
import { OutcomeKind } from "../model/attempt_outcome.ts";
import type { EndpointRecord } from "../model/endpoint_record.ts";
import type { EndpointState } from "../scheduling/endpoint_state.ts";
import {
  AnswerStatistics,
  type AttemptEnd,
  VersionSide,
} from "./answer_statistics.ts";
import {
  type RolloutOrder,
  RolloutPhase,
  type RolloutRecord,
} from "./rollout_record.ts";

/** A grant that is not repeated for this time has ended. */
const MAX_GRANT_MILLISECONDS = 1_000;
/** The same as a fraction of the time in which a worse version is left. */
const GRANT_FRACTION = 0.2;
/** With fewer endpoints, a fault of one is not told from the version's. */
const MIN_OFFERED_ENDPOINTS = 2;

/** Endpoints of a service, by version. */
interface VersionGroups {
  source: readonly EndpointState[];
  /** The records of these endpoints, which are replaced when they change. */
  records: readonly EndpointRecord[];
  share: number;
  former: readonly EndpointState[];
  /** Those of the new version that get its share. */
  offered: readonly EndpointState[];
  firstHalf: readonly EndpointState[];
  secondHalf: readonly EndpointState[];
}

/** Some endpoints of a list. */
interface PickedEndpoints {
  source: readonly EndpointState[];
  count: number;
  picked: readonly EndpointState[];
}

/** A request that is about to be placed. */
export interface PlacedRequest {
  /** Drawn once for the request, 0 to 1. */
  draw: number;
  /** Whether an earlier attempt failed. */
  isRetry: boolean;
}

/** Dependencies of a {@link VersionGate}. */
export interface VersionGateOptions {
  service: ServiceId;
  /** Time from evidence of a worse version to its last request. */
  revertMilliseconds: number;
  /** Identifies this process among all of the fleet. */
  process: string;
  clock: Clock;
  /** Lists the registered endpoints of the service, available or not. */
  listRegistered: () => readonly EndpointRecord[];
}

/**
 * Applies what the owner of a roll-out permits. Without an order, all versions
 * are alike. The new version gets nothing without a recent grant of the owner.
 */
export class VersionGate {
  readonly #options: VersionGateOptions;
  readonly #statistics = new AnswerStatistics();
  #order: RolloutOrder | undefined;
  #record: RolloutRecord | undefined;
  #grant: RolloutGrant | undefined;
  #grantedAt = -Infinity;
  /** When a grant of the owner arrived, whether it is followed or not. */
  #heardAt = -Infinity;
  /** Attempts that the owner has allowed this process, in all. */
  #allowed = 0;
  #reached = 0;
  #exposed = 0;
  #answered = 0;
  #isSuspect = false;
  #groups: VersionGroups | undefined;
  #offered: PickedEndpoints = { source: [], count: 0, picked: [] };

  constructor(options: VersionGateOptions) {
    this.#options = options;
  }

  /** The operator's order; undefined if there is none. */
  get order(): RolloutOrder | undefined {
    return this.#order;
  }

  /** The newest record of the order that is known. */
  get record(): RolloutRecord | undefined {
    return this.#record;
  }

  /** Whether versions are told apart. */
  get isActive(): boolean {
    return this.#order !== undefined || this.#record !== undefined;
  }

  /** Whether the record belongs to the order in force. */
  get isCurrent(): boolean {
    return this.#record !== undefined &&
      this.#record.version === this.#order?.version;
  }

  /** Whether an order is not decided yet, as far as this VM knows. */
  get isUndecided(): boolean {
    return this.#record?.phase === RolloutPhase.InProgress ||
      this.#order !== undefined && !this.isCurrent;
  }

  /** Applies an order, or its removal. */
  updateOrder(order: RolloutOrder | undefined): void {
    const isOther = order?.version !== this.#order?.version;
    this.#order = order;
    this.#groups = undefined;
    if (isOther) {
      this.#grant = undefined;
    }
    if (order === undefined && this.#record?.phase === RolloutPhase.Complete) {
      this.#record = undefined;
    }
  }

  /** Applies a record that is newer than the one known. */
  updateRecord(record: RolloutRecord): void {
    if (record.generation !== this.#record?.generation) {
      this.#startGeneration();
    }
    this.#record = record;
    this.#groups = undefined;
    if (record.phase !== RolloutPhase.InProgress) {
      this.#grant = undefined;
    }
  }

  /** Applies a grant of the owner, unless it is older than the one in force. */
  applyGrant(grant: RolloutGrant): void {
    const isOfRecord = grant.generation === this.#record?.generation &&
      this.#record.phase === RolloutPhase.InProgress;
    if (!isOfRecord || this.#isOlder(grant)) {
      return;
    }
    const now = this.#options.clock.now();
    this.#heardAt = now;
    // The order may not have reached this VM.
    if (!this.isCurrent) {
      return;
    }
    this.#grant = grant;
    this.#grantedAt = now;
    this.#isSuspect ||= grant.isSuspect;
    const own = grant.allowances.find(({ process }) =>
      process === this.#options.process
    );
    this.#allowed = Math.max(this.#allowed, own?.attempts ?? 0);
  }

  /** Time since a grant of the owner was heard; infinite if none was. */
  get silenceMilliseconds(): number {
    return this.#options.clock.now() - this.#heardAt;
  }

  /** Whether endpoints of this version must not get requests. */
  isExcluded(version: string): boolean {
    const record = this.#record;
    if (record === undefined || version === this.#order?.version) {
      return this.isCurrent && record?.phase === RolloutPhase.Reverted &&
        version === record.version;
    }
    if (record.excluded.includes(version)) {
      return true;
    }
    switch (record.phase) {
      case RolloutPhase.Complete:
        return record.replaced.includes(version);
      case RolloutPhase.Reverted:
        return version === record.version;
      case RolloutPhase.InProgress:
        // Another order came before this version was proven.
        return !this.isCurrent && version === record.version &&
          !record.isTrusted;
    }
  }

  /**
   * Lists the groups of endpoints that a request may go to, in order of
   * preference. The lists are the same objects as long as nothing has changed.
   */
  listGroups(
    { draw, isRetry }: PlacedRequest,
    endpoints: readonly EndpointState[],
  ): (readonly EndpointState[])[] {
    const groups = this.#findGroups(endpoints);
    const { share, former, offered } = groups;
    if (this.#isOnlyVersion(groups)) {
      return [offered];
    }
    if (offered.length === 0 || !this.#canExpose()) {
      return [former];
    }
    const isAll = share >= 1;
    if (!isAll && (isRetry || draw >= share)) {
      return [former];
    }
    // Both halves get as many requests, however busy their endpoints are.
    const { firstHalf, secondHalf } = groups;
    const halves = draw < share / 2
      ? [firstHalf, secondHalf]
      : [secondHalf, firstHalf];
    return isAll ? halves : [...halves, former];
  }

  /** Whether an endpoint is of a version that is not proven yet. */
  isUnproven(version: string): boolean {
    return version === this.#order?.version && !this.#isProven(version);
  }

  /** Counts an attempt that is sent now. */
  recordAttempt(version: string): void {
    this.#reached++;
    if (this.isUnproven(version)) {
      this.#exposed++;
    }
  }

  /** Counts an attempt that ended at an endpoint. */
  recordEnd(
    endpoint: EndpointState,
    end: Omit<AttemptEnd, "side">,
  ): void {
    const isNew = this.isUnproven(endpoint.record.version ?? "");
    if (isNew && end.kind === OutcomeKind.Answered) {
      this.#answered++;
    }
    this.#statistics.record({ ...end, side: pickSide(endpoint, isNew) });
  }

  /** Builds this process's report for the owner; undefined if there is none. */
  buildReport(includesStatistics: boolean): RolloutReport | undefined {
    const record = this.#record;
    if (record?.phase !== RolloutPhase.InProgress || !this.isCurrent) {
      return undefined;
    }
    const grant = this.#liveGrant;
    return {
      service: this.#options.service,
      generation: record.generation,
      process: this.#options.process,
      reached: this.#reached,
      exposed: this.#exposed,
      answered: this.#answered,
      grantTerm: grant?.term ?? 0,
      grantSequence: grant?.sequence ?? 0,
      isSuspect: this.#isSuspect,
      ...(includesStatistics ? { statistics: this.#statistics.list() } : {}),
    };
  }

  /** Whether the version that is ordered serves, or has served, everything. */
  #isProven(version: string): boolean {
    const record = this.#record;
    if (record === undefined || this.isCurrent) {
      return record?.phase === RolloutPhase.Complete ||
        record?.isReturn === true;
    }
    return record.phase !== RolloutPhase.Complete &&
      record.replaced.includes(version);
  }

  #startGeneration(): void {
    this.#statistics.clear();
    this.#grant = undefined;
    this.#heardAt = this.#options.clock.now();
    this.#allowed = 0;
    this.#reached = 0;
    this.#exposed = 0;
    this.#answered = 0;
    this.#isSuspect = false;
  }

  #isOlder({ term, sequence, generation }: RolloutGrant): boolean {
    const known = this.#grant;
    return known !== undefined && known.generation === generation &&
      (term < known.term || term === known.term && sequence < known.sequence);
  }

  get #liveGrant(): RolloutGrant | undefined {
    const lifetime = Math.min(
      MAX_GRANT_MILLISECONDS,
      GRANT_FRACTION * this.#options.revertMilliseconds,
    );
    const age = this.#options.clock.now() - this.#grantedAt;
    return age <= lifetime ? this.#grant : undefined;
  }

  /** Whether the new version may get one more attempt of this process. */
  #canExpose(): boolean {
    const grant = this.#liveGrant;
    return grant !== undefined && !this.#isSuspect &&
      (grant.isUnlimited || this.#exposed < this.#allowed);
  }

  #computeShare(): number {
    return this.#liveGrant?.share ?? 0;
  }

  #findGroups(source: readonly EndpointState[]): VersionGroups {
    const share = this.#computeShare();
    const known = this.#groups;
    const isSame = known?.share === share &&
      isSameList(known.source, source) &&
      source.every(({ record }, index) => record === known.records[index]);
    if (isSame) {
      return known;
    }
    this.#groups = this.#buildGroups(source, share);
    return this.#groups;
  }

  #buildGroups(
    source: readonly EndpointState[],
    share: number,
  ): VersionGroups {
    const former: EndpointState[] = [];
    const offered: EndpointState[] = [];
    for (const endpoint of source) {
      const version = endpoint.record.version ?? "";
      if (this.isExcluded(version)) {
        continue;
      }
      (this.isUnproven(version) ? offered : former).push(endpoint);
    }
    const isPartial = share > 0 && share < 1;
    const picked = isPartial ? this.#pickOffered(offered, share) : offered;
    return {
      source,
      records: source.map(({ record }) => record),
      share,
      former,
      offered: picked,
      firstHalf: picked.filter(isOfFirstHalf),
      secondHalf: picked.filter((endpoint) => !isOfFirstHalf(endpoint)),
    };
  }

  /** Picks again only when the endpoints or their number have changed. */
  #pickOffered(
    endpoints: readonly EndpointState[],
    share: number,
  ): readonly EndpointState[] {
    const count = Math.max(
      MIN_OFFERED_ENDPOINTS,
      Math.ceil(endpoints.length * share),
    );
    const { source, picked } = this.#offered;
    if (this.#offered.count === count && isSameList(source, endpoints)) {
      return picked;
    }
    const spread = pickSpread(endpoints, count);
    this.#offered = { source: endpoints, count, picked: spread };
    return spread;
  }

  /**
   * Whether no other version is registered and no record is known. This VM may
   * have started after the roll-out, while the store is away.
   */
  #isOnlyVersion({ former, offered }: VersionGroups): boolean {
    return this.#record === undefined && former.length === 0 &&
      offered.length > 0 &&
      this.#options.listRegistered().every(({ version }) =>
        version === this.#order?.version
      );
  }
}

/**
 * Picks the same endpoints at all VMs, spread over both halves and all zones, so
 * that a fault of one zone is not taken for the version's.
 */
function pickSpread(
  endpoints: readonly EndpointState[],
  count: number,
): EndpointState[] {
  const left = [...endpoints].sort((first, second) =>
    first.idHash - second.idHash
  );
  const picked: EndpointState[] = [];
  const uses = new Map<string | boolean, number>();
  const countUses = (key: string | boolean) => uses.get(key) ?? 0;
  const computeRank = (endpoint: EndpointState) =>
    countUses(isOfFirstHalf(endpoint)) * endpoints.length +
    countUses(endpoint.record.zone);
  while (picked.length < count && left.length > 0) {
    const next = left.reduce((best, endpoint) =>
      computeRank(endpoint) < computeRank(best) ? endpoint : best
    );
    left.splice(left.indexOf(next), 1);
    picked.push(next);
    for (const key of [isOfFirstHalf(next), next.record.zone]) {
      uses.set(key, countUses(key) + 1);
    }
  }
  return picked;
}

function isSameList(
  first: readonly EndpointState[],
  second: readonly EndpointState[],
): boolean {
  return first === second ||
    first.length === second.length &&
      first.every((endpoint, index) => endpoint === second[index]);
}

function isOfFirstHalf({ idHash }: EndpointState): boolean {
  return idHash % 2 === 0;
}

function pickSide(endpoint: EndpointState, isNew: boolean): VersionSide {
  if (!isNew) {
    return VersionSide.Former;
  }
  return isOfFirstHalf(endpoint)
    ? VersionSide.NewFirstHalf
    : VersionSide.NewSecondHalf;
}

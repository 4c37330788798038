/** Schedules the requests that other VMs submit to this one. */

import { type Clock, createLifetime, type Logger } from "@rattanvane/base";
import {
  type AttemptEndedMessage,
  type EntryId,
  type GrantedEntry,
  type MemberMessage,
  type MemberSyncMessage,
  MessageKind,
  type MessageSender,
  type SubmitRequestMessage,
  type VmId,
} from "@rattanvane/protocol";
import { OutcomeKind } from "../model/attempt_outcome.ts";
import type { SchedulableCall } from "../model/call.ts";
import type { Refusal, RefusalCause } from "../scheduling/refusal.ts";
import {
  type Admission,
  type AttemptGrant,
  type AttemptReport,
  UNUSED_REPORT,
} from "./admission.ts";

/** A member that sends no sync for this time has gone or left. */
const MEMBER_LIFETIME_MILLISECONDS = 2_000;
/** A member whose sync is overdue by this is checked for a failure. */
const SILENCE_MILLISECONDS = 900;
const EXPIRY_CHECK_MILLISECONDS = 150;
const IDLE_CHECK_MILLISECONDS = 1_000;
/**
 * A sync lists an entry within this time after it was submitted or granted; the
 * messages of both may have crossed.
 */
const SYNC_GRACE_MILLISECONDS = 1_000;
const MAX_ENTRIES_PER_MEMBER = 4_000;
const OVERLOAD_RETRY_AFTER_MILLISECONDS = 500;
const OUTCOMES = new Set<string>(Object.values(OutcomeKind));

/** An attempt of a member that another scheduler granted. */
export interface AdoptedAttempt {
  end: () => void;
}

/** Dependencies of an {@link AdmissionServer}. */
export interface AdmissionServerOptions {
  admission: Admission;
  sender: MessageSender;
  clock: Clock;
  logger: Logger;
  /** Counts a running attempt at an endpoint; undefined if it is not known. */
  adoptAttempt: (endpoint: string) => AdoptedAttempt | undefined;
  /** Called when a member's sync is overdue. */
  reportSilence: (vm: VmId) => void;
}

interface Entry {
  since: number;
  /** Aborts while the entry waits. */
  lifetime: AbortController;
  grant?: AttemptGrant;
  adopted?: AdoptedAttempt;
}

interface Member {
  lastSyncAt: number;
  /** Whether its silence was reported. */
  isReported: boolean;
  entries: Map<EntryId, Entry>;
}

/** Holds the entries of all members until their attempts have ended. */
export class AdmissionServer {
  readonly #options: AdmissionServerOptions;
  readonly #members = new Map<VmId, Member>();

  constructor(options: AdmissionServerOptions) {
    this.#options = options;
  }

  /** Removes the entries of silent members until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      const interval = this.#members.size === 0
        ? IDLE_CHECK_MILLISECONDS
        : EXPIRY_CHECK_MILLISECONDS;
      await clock.sleep(interval, signal);
      this.#removeSilentMembers();
    }
  }

  /** The number of VMs whose requests this one schedules. */
  get members(): number {
    return this.#members.size;
  }

  /** The number of entries of all members. */
  get entries(): number {
    let sum = 0;
    for (const { entries } of this.#members.values()) {
      sum += entries.size;
    }
    return sum;
  }

  listMembers(): Iterable<VmId> {
    return this.#members.keys();
  }

  /** Handles a member's message, except for replying to a sync. */
  handle(from: VmId, message: MemberMessage): void {
    switch (message.kind) {
      case MessageKind.SubmitRequest:
        return this.#submit(from, message);
      case MessageKind.WithdrawRequest:
        return this.#withdraw(from, message.entry);
      case MessageKind.AttemptAnswering:
        this.#findEntry(from, message.entry)?.grant?.recordAnswerStart(
          message.report,
        );
        return;
      case MessageKind.AttemptEnded:
        return this.#endAttempt(from, message);
      case MessageKind.MemberSync:
        return this.#reconcile(from, message);
    }
  }

  #submit(from: VmId, message: SubmitRequestMessage): void {
    const { entries } = this.#findOrCreateMember(from);
    if (entries.has(message.entry)) {
      return;
    }
    if (entries.size >= MAX_ENTRIES_PER_MEMBER) {
      this.#refuse(from, message.entry, {
        reason: "overload",
        retryAfterMilliseconds: OVERLOAD_RETRY_AFTER_MILLISECONDS,
        waitedMilliseconds: 0,
      });
      return;
    }
    const entry: Entry = {
      since: this.#options.clock.now(),
      lifetime: createLifetime(),
    };
    entries.set(message.entry, entry);
    void this.#decide(from, message, entry);
  }

  async #decide(
    from: VmId,
    message: SubmitRequestMessage,
    entry: Entry,
  ): Promise<void> {
    const { admission, sender, clock } = this.#options;
    let isDecided = false;
    setImmediate(() => {
      if (!isDecided) {
        const { entry } = message;
        sender.send(from, { kind: MessageKind.RequestQueued, entry });
      }
    });
    const { grant, refusal } = await admission.submit({
      call: buildCall(message, clock.now()),
      avoid: new Set(message.avoid),
      excluded: new Set(message.excluded),
      isRepeated: message.isRepeated,
      ...(message.isHedge ? { isHedge: true } : {}),
    }, entry.lifetime.signal);
    isDecided = true;
    if (grant === undefined) {
      this.#members.get(from)?.entries.delete(message.entry);
      this.#refuse(from, message.entry, convertRefusal(refusal));
      return;
    }
    if (entry.lifetime.signal.aborted) {
      grant.recordEnd(UNUSED_REPORT);
      return;
    }
    entry.grant = grant;
    entry.since = clock.now();
    const { endpoint, forecast } = grant;
    sender.send(from, {
      kind: MessageKind.GrantRequest,
      entry: message.entry,
      endpoint: endpoint.id,
      zone: endpoint.zone,
      host: endpoint.host,
      port: endpoint.port,
      waitedMilliseconds: forecast.waitedMilliseconds,
      predictedMilliseconds: forecast.predictedMilliseconds,
      ownTokens: forecast.ownTokens,
      aheadTokens: forecast.aheadTokens,
      missingTokens: forecast.missingTokens,
      isLong: forecast.isLong,
      running: forecast.running,
      ...(forecast.slowMilliseconds === undefined
        ? {}
        : { slowMilliseconds: forecast.slowMilliseconds }),
    });
  }

  #refuse(
    to: VmId,
    entry: EntryId,
    refusal: {
      reason: string;
      retryAfterMilliseconds: number;
      waitedMilliseconds: number;
      cause?: RefusalCause;
    },
  ): void {
    this.#options.sender.send(to, {
      kind: MessageKind.RefuseRequest,
      entry,
      ...refusal,
    });
  }

  #withdraw(from: VmId, id: EntryId): void {
    const entry = this.#findEntry(from, id);
    if (entry !== undefined) {
      this.#members.get(from)?.entries.delete(id);
      stopEntry(entry);
    }
  }

  #endAttempt(from: VmId, message: AttemptEndedMessage): void {
    const entry = this.#findEntry(from, message.entry);
    if (entry === undefined) {
      return;
    }
    this.#members.get(from)?.entries.delete(message.entry);
    entry.adopted?.end();
    entry.grant?.recordEnd(buildReport(message));
  }

  /**
   * Removes the entries that the member no longer has, whose messages were lost
   * with a connection, and adopts those that another scheduler granted.
   */
  #reconcile(from: VmId, message: MemberSyncMessage): void {
    const member = this.#findOrCreateMember(from);
    const now = this.#options.clock.now();
    member.lastSyncAt = now;
    member.isReported = false;
    const present = new Set(message.waiting);
    for (const running of message.running) {
      present.add(running.entry);
      this.#adoptIfUnknown(member, running);
    }
    for (const [id, entry] of member.entries) {
      const isLost = !present.has(id) &&
        now - entry.since > SYNC_GRACE_MILLISECONDS;
      if (isLost) {
        member.entries.delete(id);
        stopEntry(entry);
      }
    }
  }

  #adoptIfUnknown(
    { entries }: Member,
    { entry, endpoint }: GrantedEntry,
  ): void {
    if (entries.has(entry) || entries.size >= MAX_ENTRIES_PER_MEMBER) {
      return;
    }
    const adopted = this.#options.adoptAttempt(endpoint);
    if (adopted !== undefined) {
      entries.set(entry, {
        since: this.#options.clock.now(),
        lifetime: createLifetime(),
        adopted,
      });
    }
  }

  #removeSilentMembers(): void {
    const { clock, logger, reportSilence } = this.#options;
    const now = clock.now();
    for (const [vm, member] of this.#members) {
      const { lastSyncAt, entries } = member;
      const silence = now - lastSyncAt;
      if (silence >= SILENCE_MILLISECONDS && !member.isReported) {
        member.isReported = true;
        reportSilence(vm);
      }
      if (silence <= MEMBER_LIFETIME_MILLISECONDS) {
        continue;
      }
      this.#members.delete(vm);
      logger.info("a VM no longer has its requests scheduled here", {
        vm,
        entries: entries.size,
      });
      for (const entry of entries.values()) {
        stopEntry(entry);
      }
    }
  }

  #findEntry(from: VmId, id: EntryId): Entry | undefined {
    return this.#members.get(from)?.entries.get(id);
  }

  #findOrCreateMember(vm: VmId): Member {
    const existing = this.#members.get(vm);
    if (existing !== undefined) {
      return existing;
    }
    const created = {
      lastSyncAt: this.#options.clock.now(),
      isReported: false,
      entries: new Map<EntryId, Entry>(),
    };
    this.#members.set(vm, created);
    this.#options.logger.info("schedules the requests of another VM", { vm });
    return created;
  }
}

/** Ends an entry whose attempt, if there was one, is not reported on. */
function stopEntry({ lifetime, grant, adopted }: Entry): void {
  lifetime.abort();
  adopted?.end();
  grant?.recordEnd(UNUSED_REPORT);
}

function buildCall(
  message: SubmitRequestMessage,
  now: number,
): SchedulableCall {
  const { prompt, originZone, bodyBytes } = message;
  return {
    ...(originZone === undefined
      ? {}
      : { origin: { zone: originZone, bodyBytes: bodyBytes ?? 0 } }),
    identity: {
      request: message.request,
      prompt: prompt === undefined ? undefined : {
        tokens: prompt.tokens,
        outputTokens: prompt.outputTokens,
        parts: prompt.parts.map(([id, tokens]) => ({ id, tokens })),
      },
    },
    route: {
      objectiveMilliseconds: message.objectiveMilliseconds,
      pauseMilliseconds: message.pauseMilliseconds,
      ...(message.route === undefined ? {} : { name: message.route }),
    },
    service: message.service,
    organisation: message.organisation,
    priority: message.priority,
    fingerprint: message.fingerprint,
    receivedAt: now - message.waitedMilliseconds,
    deadlineAt: now + message.remainingMilliseconds,
  };
}

function convertRefusal(refusal: Refusal) {
  return {
    reason: refusal.kind,
    retryAfterMilliseconds: refusal.retryAfterMilliseconds,
    waitedMilliseconds: refusal.waitedMilliseconds,
    ...(refusal.cause === undefined ? {} : { cause: refusal.cause }),
  };
}

function buildReport(message: AttemptEndedMessage): AttemptReport {
  const kind = OUTCOMES.has(message.outcome)
    ? message.outcome as OutcomeKind
    : OutcomeKind.Stopped;
  return {
    kind,
    isConnectionRefused: message.isConnectionRefused,
    firstMilliseconds: message.firstByteMilliseconds,
    longestPauseMilliseconds: message.longestPauseMilliseconds,
    ...(message.report === undefined ? {} : { report: message.report }),
  };
}

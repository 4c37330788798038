/** Admits requests with the help of a scheduler on another VM. */

import {
  ChildAbort,
  type Clock,
  Deferred,
  type Logger,
} from "@rattanvane/base";
import {
  type AdmissionMessage,
  type EndpointReport,
  type EntryId,
  type GrantedEntry,
  type GrantRequestMessage,
  MessageKind,
  type MessageSender,
  type RefuseRequestMessage,
  type ServiceId,
  type SubmitRequestMessage,
  type VmId,
} from "@rattanvane/protocol";
import { RefusalKind } from "../scheduling/refusal.ts";
import {
  Admission,
  type AdmissionRequest,
  type AdmissionResult,
  AttemptGrant,
  type AttemptReport,
  type GrantedEndpoint,
  type GrantForecast,
  UNUSED_REPORT,
} from "./admission.ts";
import type { SchedulerSelector } from "./scheduler_selector.ts";

/** A scheduler grants, refuses or acknowledges a request within this time. */
const REPLY_TIMEOUT_MILLISECONDS = 120;
/** Schedulers that are tried before this VM decides by itself. */
const MAX_SCHEDULERS = 3;
/** Grants of endpoints that this VM knows to be closed, before it gives up. */
const MAX_CLOSED_GRANTS = 2;
const CLOSED_RETRY_AFTER_MILLISECONDS = 300;
const REFUSAL_KINDS = new Set<string>(Object.values(RefusalKind));

/** Dependencies of a {@link RemoteAdmission}. */
export interface RemoteAdmissionOptions {
  self: VmId;
  selector: SchedulerSelector;
  /** Decides while this VM schedules by itself or no scheduler answers. */
  local: Admission;
  sender: MessageSender;
  clock: Clock;
  logger: Logger;
  /** Whether versions of a service are compared, route by route. */
  hasVersions?: (service: ServiceId) => boolean;
  /** Whether this VM knows that an endpoint accepts no requests. */
  isClosed: (endpoint: string) => boolean;
}

/** What a scheduler's reply, or the lack of one, means for a request. */
type Reply = AdmissionResult | { lost: true };

/** A request that waits for its scheduler's decision. */
interface PendingEntry {
  scheduler: VmId;
  reply: Deferred<Reply>;
  isAcknowledged: boolean;
}

/** An attempt that a scheduler granted. */
interface RunningEntry {
  scheduler: VmId;
  endpoint: string;
}

/** Submits requests to the chosen scheduler, and to others if it is silent. */
export class RemoteAdmission extends Admission {
  readonly #options: RemoteAdmissionOptions;
  readonly #pending = new Map<EntryId, PendingEntry>();
  readonly #running = new Map<EntryId, RunningEntry>();
  /** Distinguishes entries from those of an earlier process of this VM. */
  readonly #prefix: string;
  #lastEntry = 0;

  constructor(options: RemoteAdmissionOptions, signal: AbortSignal) {
    super();
    this.#options = options;
    this.#prefix = Math.floor(options.clock.wallTime()).toString(36);
    options.selector.losses.listen((vm) => this.#abandon(vm), signal);
  }

  override async submit(
    request: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<AdmissionResult> {
    const { selector, local } = this.#options;
    let closedGrants = 0;
    let silentSchedulers = 0;
    let { avoid, excluded } = request;
    while (silentSchedulers < MAX_SCHEDULERS) {
      const scheduler = selector.pick();
      if (scheduler === undefined) {
        break;
      }
      const reply = await this.#submitTo(
        scheduler,
        { ...request, avoid, excluded },
        signal,
      );
      if ("lost" in reply) {
        if (request.isHedge) {
          return buildRefusal(RefusalKind.Overload);
        }
        silentSchedulers++;
        continue;
      }
      const closed = this.#findClosedEndpoint(reply);
      if (closed === undefined) {
        return reply;
      }
      if (++closedGrants >= MAX_CLOSED_GRANTS) {
        return buildRefusal(RefusalKind.NoEndpoint);
      }
      avoid = new Set([...avoid, closed]);
      excluded = new Set([...request.excluded, ...excluded, closed]);
    }
    return await local.submit({ ...request, avoid, excluded }, signal);
  }

  /** Handles a scheduler's message. */
  handle(from: VmId, message: AdmissionMessage): void {
    switch (message.kind) {
      case MessageKind.RequestQueued:
        return this.#acknowledge(from, message.entry);
      case MessageKind.GrantRequest:
        return this.#applyGrant(from, message);
      case MessageKind.RefuseRequest:
        return this.#applyRefusal(from, message);
      case MessageKind.MemberSyncReply:
        return;
    }
  }

  /** Lists the entries that wait for a scheduler's decision. */
  listWaiting(scheduler: VmId): EntryId[] {
    return [...this.#pending].filter(([, entry]) =>
      entry.scheduler === scheduler
    ).map(([id]) => id);
  }

  /** Lists the running attempts that schedulers granted. */
  listRunning(): GrantedEntry[] {
    return [...this.#running].map(([entry, { endpoint }]) => ({
      entry,
      endpoint,
    }));
  }

  async #submitTo(
    scheduler: VmId,
    request: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<Reply> {
    const { sender } = this.#options;
    const id = `${this.#prefix}.${++this.#lastEntry}`;
    const reply = new Deferred<Reply>();
    const pending = { scheduler, reply, isAcknowledged: false };
    this.#pending.set(id, pending);
    const withdraw = () => {
      sender.send(scheduler, { kind: MessageKind.WithdrawRequest, entry: id });
      reply.resolve(buildRefusal(RefusalKind.Abandoned));
    };
    signal.addEventListener("abort", withdraw, { once: true });
    const wait = new ChildAbort(signal);
    void this.#checkReply(pending, wait.signal);
    try {
      sender.send(scheduler, this.#buildSubmission(id, request));
      const result = await reply.promise;
      if ("lost" in result) {
        sender.send(scheduler, {
          kind: MessageKind.WithdrawRequest,
          entry: id,
        });
      }
      return result;
    } finally {
      wait.abort();
      signal.removeEventListener("abort", withdraw);
      this.#pending.delete(id);
    }
  }

  async #checkReply(
    pending: PendingEntry,
    signal: AbortSignal,
  ): Promise<void> {
    await this.#options.clock.sleep(REPLY_TIMEOUT_MILLISECONDS, signal);
    // After this process was busy, timers run before the replies are read that
    // have arrived meanwhile.
    await new Promise((resolve) => setImmediate(resolve));
    const isSilent = !pending.isAcknowledged && !pending.reply.isSettled;
    if (isSilent && !signal.aborted) {
      this.#options.selector.recordLoss(pending.scheduler, "no reply");
    }
  }

  #buildSubmission(
    entry: EntryId,
    { call, avoid, excluded, isRepeated, isHedge }: AdmissionRequest,
  ): SubmitRequestMessage {
    const now = this.#options.clock.now();
    const { prompt } = call.identity;
    return {
      kind: MessageKind.SubmitRequest,
      entry,
      request: call.identity.request,
      service: call.service,
      ...(call.organisation === undefined
        ? {}
        : { organisation: call.organisation }),
      priority: call.priority,
      fingerprint: call.fingerprint,
      objectiveMilliseconds: call.route.objectiveMilliseconds,
      pauseMilliseconds: call.route.pauseMilliseconds,
      ...(this.#options.hasVersions?.(call.service) === true &&
          call.route.name !== undefined
        ? { route: call.route.name }
        : {}),
      waitedMilliseconds: now - call.receivedAt,
      remainingMilliseconds: call.deadlineAt - now,
      ...(prompt === undefined ? {} : {
        prompt: {
          tokens: prompt.tokens,
          outputTokens: prompt.outputTokens,
          parts: prompt.parts.map(({ id, tokens }) => [id, tokens]),
        },
      }),
      avoid: [...avoid],
      ...(excluded.size === 0 ? {} : { excluded: [...excluded] }),
      isRepeated,
      ...(isHedge ? { isHedge } : {}),
      ...(call.origin === undefined ? {} : {
        originZone: call.origin.zone,
        bodyBytes: call.origin.bodyBytes,
      }),
    };
  }

  #acknowledge(from: VmId, entry: EntryId): void {
    const pending = this.#pending.get(entry);
    if (pending?.scheduler === from) {
      pending.isAcknowledged = true;
    }
  }

  #applyGrant(from: VmId, message: GrantRequestMessage): void {
    const { sender } = this.#options;
    const pending = this.#pending.get(message.entry);
    if (pending?.scheduler !== from || pending.reply.isSettled) {
      // The request was withdrawn, or another scheduler has decided on it.
      sender.send(from, buildUnusedReport(message.entry));
      return;
    }
    this.#running.set(message.entry, {
      scheduler: from,
      endpoint: message.endpoint,
    });
    const grant = new RemoteGrant(message, {
      send: (report) => sender.send(from, report),
      end: () => this.#running.delete(message.entry),
    });
    pending.reply.resolve({ grant });
  }

  #applyRefusal(from: VmId, message: RefuseRequestMessage): void {
    const pending = this.#pending.get(message.entry);
    if (pending?.scheduler !== from) {
      return;
    }
    const kind = REFUSAL_KINDS.has(message.reason)
      ? message.reason as RefusalKind
      : RefusalKind.Overload;
    pending.reply.resolve({
      refusal: {
        kind,
        retryAfterMilliseconds: message.retryAfterMilliseconds,
        waitedMilliseconds: message.waitedMilliseconds,
        ...(message.cause === undefined ? {} : { cause: message.cause }),
      },
    });
  }

  /** Ends the waits for a scheduler, so that another one is tried. */
  #abandon(scheduler: VmId): void {
    for (const pending of this.#pending.values()) {
      if (pending.scheduler === scheduler) {
        pending.reply.resolve({ lost: true });
      }
    }
  }

  /**
   * Returns a granted endpoint that this VM knows to be closed and gives the
   * grant back; undefined if the result stands.
   */
  #findClosedEndpoint({ grant }: AdmissionResult): string | undefined {
    if (grant === undefined || !this.#options.isClosed(grant.endpoint.id)) {
      return undefined;
    }
    this.#options.logger.info("a granted endpoint is closed; not used", {
      endpoint: grant.endpoint.id,
      zone: grant.endpoint.zone,
    });
    grant.recordEnd(UNUSED_REPORT);
    return grant.endpoint.id;
  }
}

type AttemptMessage = Parameters<MessageSender["send"]>[1];

/** An attempt that a scheduler on another VM granted. */
class RemoteGrant extends AttemptGrant {
  override readonly endpoint: GrantedEndpoint;
  override readonly forecast: GrantForecast;
  readonly #entry: EntryId;
  readonly #send: (message: AttemptMessage) => void;
  readonly #end: () => void;

  constructor(
    message: GrantRequestMessage,
    callbacks: { send: (message: AttemptMessage) => void; end: () => void },
  ) {
    super();
    this.#entry = message.entry;
    this.#send = callbacks.send;
    this.#end = callbacks.end;
    this.endpoint = {
      id: message.endpoint,
      zone: message.zone,
      host: message.host,
      port: message.port,
    };
    this.forecast = message;
  }

  override recordAnswerStart(report?: EndpointReport): void {
    this.#send({
      kind: MessageKind.AttemptAnswering,
      entry: this.#entry,
      ...(report === undefined ? {} : { report }),
    });
  }

  override recordEnd(report: AttemptReport): void {
    this.#end();
    this.#send(buildEndMessage(this.#entry, report));
  }
}

function buildUnusedReport(entry: EntryId): AttemptMessage {
  return buildEndMessage(entry, UNUSED_REPORT);
}

function buildEndMessage(
  entry: EntryId,
  report: AttemptReport,
): AttemptMessage {
  return {
    kind: MessageKind.AttemptEnded,
    entry,
    outcome: report.kind,
    isConnectionRefused: report.isConnectionRefused,
    ...(report.firstMilliseconds === undefined
      ? {}
      : { firstByteMilliseconds: report.firstMilliseconds }),
    longestPauseMilliseconds: report.longestPauseMilliseconds,
    ...(report.report === undefined ? {} : { report: report.report }),
  };
}

function buildRefusal(kind: RefusalKind): AdmissionResult {
  return {
    refusal: {
      kind,
      retryAfterMilliseconds: CLOSED_RETRY_AFTER_MILLISECONDS,
      waitedMilliseconds: 0,
    },
  };
}
